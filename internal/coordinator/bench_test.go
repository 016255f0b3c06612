package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

// batchSize is the number of calls in a batch of the benchmarks.
const batchSize = 6

// BenchmarkCollect measures one call of an entry instance in a batch at the leader
// without network and disk, by the number of entry instances, of accounts that are
// declared per call and of targets.
func BenchmarkCollect(b *testing.B) {
	for _, size := range [][3]int{{8, 10, 21}, {72, 24, 94}, {295, 5, 165}, {295, 40, 165}, {340, 5, 3100}, {340, 24, 3100}, {340, 500, 3100}} {
		b.Run(fmt.Sprintf("entries=%d/accounts=%d/targets=%d", size[0], size[1], size[2]), func(b *testing.B) {
			l := newLog()
			delete(l.coordinators, "b")
			a := l.coordinators["a"]
			cfg := ruleset.Config{Version: 1, Pools: []pool.Pool{{Name: "p"}}, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 1, Split: []route.Share{{Pool: "p", Weight: 1}}}}}
			for i := range size[1] {
				cfg.Accounts = append(cfg.Accounts, prepaid.Prepaid{Name: fmt.Sprint("account", i)}.WithTokens(1<<40))
			}
			r, err := ruleset.New(cfg)
			if err != nil {
				b.Fatal(err)
			}
			if err := a.Submit(b.Context(), r, nil); err != nil {
				b.Fatal(err)
			}
			for i := range size[2] {
				if err := a.Announce(b.Context(), &wire.Listing{Id: fmt.Sprint("target", i), Born: 1, Pool: "p", Address: fmt.Sprint(i)}); err != nil {
					b.Fatal(err)
				}
			}
			l.entries = nil
			n := 0
			for b.Loop() {
				batch := &wire.BatchRequest{Load: n%4 == 0}
				for range batchSize {
					n++
					q := &wire.SyncRequest{Instance: fmt.Sprint("entry", n%size[0]), Sequence: uint64(n), Version: 1, Roster: uint64(size[2])}
					for i := range size[1] {
						q.Allowances = append(q.Allowances, &wire.Allowance{Account: fmt.Sprint("account", i), Limit: 1000, Lock: 500, Used: 400})
					}
					for i := range 20 {
						q.Loads = append(q.Loads, &wire.Load{Target: fmt.Sprint("target", (n+i)%size[2]), Running: 1})
					}
					batch.Calls = append(batch.Calls, q)
				}
				if _, err := a.Collect(b.Context(), batch); err != nil {
					b.Fatal(err)
				}
				l.entries = l.entries[:0]
				// Advance the clock as if each instance made two calls a second.
				l.now = l.now.Add(batchSize * 500 * time.Millisecond / time.Duration(size[0]))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/call")
		})
	}
}

// BenchmarkSyncOrigins measures one call with the records of streams, and how many
// bytes of the log they take.
func BenchmarkSyncOrigins(b *testing.B) {
	for _, records := range []int{0, 10, 100, 1000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			l := newLog()
			delete(l.coordinators, "b")
			a := l.coordinators["a"]
			n, size := 0, 0
			for b.Loop() {
				n++
				q := &wire.SyncRequest{Instance: fmt.Sprint("entry", n%340), Sequence: uint64(n)}
				if records > 0 {
					q.Origins = []*wire.Origins{{Pool: "pool", Version: "version"}}
				}
				for i := range records {
					q.Origins[0].Attempts = append(q.Origins[0].Attempts, uint64(n)<<32|uint64(i))
				}
				if _, err := a.Collect(b.Context(), &wire.BatchRequest{Calls: []*wire.SyncRequest{q}}); err != nil {
					b.Fatal(err)
				}
				size = len(l.entries[0])
				l.entries = l.entries[:0]
				l.now = l.now.Add(200 * time.Millisecond / 340)
			}
			b.ReportMetric(float64(size), "log-B")
		})
	}
}
