package detector

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// full returns a detector with as many crashes and blocks as it holds.
func full(b *testing.B) *Detector {
	b.Helper()
	c := newClock()
	d := c.detector()
	for i := range maxBlocks {
		for n := range crashLimit {
			d.RecordCrash(fmt.Sprintf("target-%d-%d/1790556488147", i, n), content(fmt.Sprintf("pool/part%06d #%d-%d", i, i, n)), true)
			c.pass(60 * time.Millisecond)
		}
	}
	return d
}

// BenchmarkAnswer measures what each answered request costs while nothing crashes.
func BenchmarkAnswer(b *testing.B) {
	d := New(Config{})
	for i := 0; b.Loop(); i++ {
		d.RecordAnswer(Content{Parts: []string{"pool/90c5a82f9411", "pool/c1bf9d379601"}, Digest: fmt.Sprint(i)})
	}
}

// BenchmarkBlocked measures what each request costs while as many contents are
// blocked as are held.
func BenchmarkBlocked(b *testing.B) {
	d := full(b)
	c := Content{Parts: []string{"pool/90c5a82f9411", "pool/c1bf9d379601"}, Digest: "0b75b4777c4bc9dcc756ff44"}
	for b.Loop() {
		d.Blocked(c)
	}
}

// BenchmarkEvidence measures the first exchange with a new leader.
func BenchmarkEvidence(b *testing.B) {
	d := full(b)
	for b.Loop() {
		d.NewSession().Request()
	}
	b.ReportMetric(float64(proto.Size(d.NewSession().Request())), "B/exchange")
}

// BenchmarkCrash measures one crash while as many are held as can be.
func BenchmarkCrash(b *testing.B) {
	d := full(b)
	for i := 0; b.Loop(); i++ {
		d.RecordCrash(fmt.Sprintf("t%d", i), content("pool/part000001 #1"), true)
	}
}
