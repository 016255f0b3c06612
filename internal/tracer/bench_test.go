package tracer_test

import (
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
)

// streams is the number of streams a second that the fleet begins at the planned size.
const streams = 5000

// fill adds the records of 70 s: the retention and the part of it after which records
// are dropped.
func fill(tr *tracer.Tracer, c *clock) {
	for second := range 70 {
		batch := &wire.Origins{Pool: "pool", Version: "version"}
		for i := range streams {
			batch.Attempts = append(batch.Attempts, tracer.Key("account", string(rune(second))+string(rune(i))))
		}
		tr.Merge([]*wire.Origins{batch})
		c.advance(time.Second)
	}
}

// BenchmarkRecords measures the memory and the snapshot of a core instance at 5,000
// streams a second.
func BenchmarkRecords(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := newClock()
	tr := tracer.New(tracer.Config{Now: c.Now})
	fill(tr, c)
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := float64(after.HeapAlloc - before.HeapAlloc)
	var size int
	for b.Loop() {
		s := &wire.CoreState{}
		tr.Save(s)
		data, err := proto.Marshal(s)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(tr.Len()), "records")
	b.ReportMetric(used/float64(tr.Len()), "B/record")
	b.ReportMetric(float64(size)/float64(tr.Len()), "snapshot-B/record")
}

// BenchmarkMerge measures a core instance that takes over 5,000 records.
func BenchmarkMerge(b *testing.B) {
	c := newClock()
	tr := tracer.New(tracer.Config{Now: c.Now})
	fill(tr, c)
	key := uint64(0)
	for b.Loop() {
		batch := &wire.Origins{Pool: "pool", Version: "version"}
		for range streams {
			key++
			batch.Attempts = append(batch.Attempts, key<<20)
		}
		tr.Merge([]*wire.Origins{batch})
		c.advance(time.Second)
	}
}

// BenchmarkRecord measures an entry instance that records a stream and gets it
// acknowledged with 99 others.
func BenchmarkRecord(b *testing.B) {
	tr := tracer.New(tracer.Config{})
	i := 0
	for b.Loop() {
		i++
		tr.Record(tracer.Key("account", string(rune(i))), "pool", "version")
		if i%100 == 0 {
			tr.Acknowledge(tr.Unsent())
		}
	}
}

// BenchmarkFind measures a look-up among the records of 5,000 streams a second.
func BenchmarkFind(b *testing.B) {
	c := newClock()
	tr := tracer.New(tracer.Config{Now: c.Now})
	fill(tr, c)
	for b.Loop() {
		tr.Find(7)
	}
}
