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

// BenchmarkStorm measures one evaluation after many connections of few targets broke,
// with repeated requests among them, so that many contents are blocked.
func BenchmarkStorm(b *testing.B) {
	d := storm(newClock())
	for b.Loop() {
		d.mu.Lock()
		d.evaluate()
		d.mu.Unlock()
	}
	b.ReportMetric(float64(len(d.blocks)), "blocks")
}

// storm returns a detector after connections of 30 targets broke, with requests that
// were repeated.
func storm(c *clock) *Detector {
	d := c.detector()
	for i := range 40 {
		d.RecordAnswer(Content{Parts: []string{fmt.Sprint("pool/first", i%3), fmt.Sprint("pool/second", i)}, Digest: fmt.Sprint("answered", i)})
	}
	for i := range 900 {
		request := i/8%70 + i/280*70
		d.RecordCrash(fmt.Sprintf("target-%d/1790556488147", i%31), Content{
			Parts:  []string{fmt.Sprint("pool/first", request%3), fmt.Sprint("pool/second", request%40), fmt.Sprint("pool/last", request)},
			Digest: fmt.Sprint("digest", request),
		}, i%3 > 0)
		c.pass(55 * time.Millisecond)
	}
	return d
}
