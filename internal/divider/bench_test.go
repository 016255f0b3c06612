package divider

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// BenchmarkCall measures one call of an entry instance of 340 with demand for as many
// limited targets as are divided.
func BenchmarkCall(b *testing.B) {
	const instances = 340
	now := time.Unix(1000, 0)
	d := New(Config{Now: func() time.Time { return now }})
	var list []*wire.TargetLimit
	for i := range maxLimits {
		list = append(list, &wire.TargetLimit{Target: fmt.Sprintf("i-2caddaea%02d/1790556488147", i), Rate: 2.5, Age: 100, Demand: 1.25})
	}
	for i := 0; b.Loop(); i++ {
		name := fmt.Sprint("e", i%instances)
		d.Report(name, list)
		d.Shares(name)
		now = now.Add(time.Second * 2 / 4 / instances)
	}
	b.ReportMetric(float64(proto.Size(&wire.SyncReply{TargetLimits: d.Shares("e1")})), "B/reply")
}
