package gossiper_test

import (
	"fmt"
	"testing"

	"github.com/papayapond/papayapond/internal/gossiper"
	"github.com/papayapond/papayapond/internal/wire"
)

// BenchmarkReport measures how a hub answers a report from an instance of its
// zone. Each report covers a tenth of the targets.
func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ instances, targets int }{{3, 15}, {30, 94}, {40, 345}, {40, 3100}} {
		b.Run(fmt.Sprint("instances=", size.instances, "/targets=", size.targets), func(b *testing.B) {
			g := gossiper.New(gossiper.Config{Self: "hub", Zone: "z"})
			q := &wire.ReportRequest{Zone: "z"}
			report := func(i int) *wire.ReportReply {
				q.Address, q.Loads = fmt.Sprint("e", i%size.instances), nil
				for n := range max(size.targets/10, 1) {
					q.Loads = append(q.Loads, &wire.Load{Target: fmt.Sprint("t", (i+10*n)%size.targets), Running: 2, Unread: 5000, Memory: 20000})
				}
				reply, err := g.Report(b.Context(), q)
				if err != nil {
					b.Fatal(err)
				}
				return reply
			}
			for i := range size.instances {
				report(i)
			}
			i, loads := 0, 0

			for b.Loop() {
				i++
				loads += len(report(i).Loads)
			}
			b.ReportMetric(float64(loads)/float64(i), "loads/answer")

		})
	}
}
