package tracer_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
)

// clock is a settable time.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{time.Unix(1000, 0)} }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

// wantRecord checks what a tracer holds of a key; an empty version means nothing.
func wantRecord(t *testing.T, tr *tracer.Tracer, key uint64, pool, version string) {
	t.Helper()
	p, v, ok := tr.Find(key)
	if ok != (version != "") || ok && (p != pool || v != version) {
		t.Errorf("record %d: got %q, %q and %v, want %q and %q", key, p, v, ok, pool, version)
	}
}

// A later record of the same request, from here or from another instance, must not
// change what its stream goes on with.
func TestFirstWins(t *testing.T) {
	tr := tracer.New(tracer.Config{})
	tr.Record(1, "p", "v1")
	tr.Record(1, "p", "v2")
	tr.Merge([]*wire.Origins{{Pool: "q", Version: "v3", Attempts: []uint64{1, 2}}})
	tr.Record(2, "p", "v4")
	wantRecord(t, tr, 1, "p", "v1")
	wantRecord(t, tr, 2, "q", "v3")
	wantRecord(t, tr, 3, "", "")
	if batch := tr.Unsent(); len(batch) != 1 || batch[0].Version != "v1" || len(batch[0].Attempts) != 1 {
		t.Errorf("got unsent %v, want only the first own record", batch)
	}
}

// Requests of different accounts may have the same attempt ID. A record of one of them
// must not answer for the other.
func TestKey(t *testing.T) {
	keys := map[uint64]string{}
	for _, pair := range [][2]string{{"a", "1"}, {"b", "1"}, {"a", "2"}, {"a1", ""}, {"", "a1"}} {
		key := tracer.Key(pair[0], pair[1])
		if other, ok := keys[key]; ok {
			t.Errorf("account and attempt %q have the key of %s", pair, other)
		}
		keys[key] = fmt.Sprint(pair)
	}
}

// A record must last as long as its stream may be taken up, and no record may stay for
// good: memory would grow with each stream.
func TestExpiry(t *testing.T) {
	c := newClock()
	tr := tracer.New(tracer.Config{Retention: 8 * time.Second, Now: c.Now})
	for i := range 20 {
		tr.Record(uint64(i), "p", "v")
		c.advance(500 * time.Millisecond)
	}
	// The last record is half a second old, the one before a second and so on.
	for i := range 20 {
		age := time.Duration(20-i) * 500 * time.Millisecond
		_, _, ok := tr.Find(uint64(i))
		if age <= 8*time.Second && !ok {
			t.Errorf("record of %v: got none, want it kept for 8 s", age)
		}
		if age > 9*time.Second && ok {
			t.Errorf("record of %v: got one, want it dropped after 9 s", age)
		}
	}
	c.advance(time.Minute)
	if batch := tr.Unsent(); batch != nil {
		t.Errorf("after a minute: got unsent records %v, want none", batch)
	}
	wantRecord(t, tr, 19, "", "")
	if got, want := tr.Len(), 0; got != want {
		t.Errorf("after a minute: got %d records, want %d", got, want)
	}
}

// More streams than planned must push out the oldest records, not fill the memory.
func TestCapacity(t *testing.T) {
	for _, capacity := range []int{1, 7, 8, 100} {
		tr := tracer.New(tracer.Config{Capacity: capacity})
		for i := range 10 * capacity {
			tr.Record(uint64(i), "p", "v")
			if got := tr.Len(); got > capacity {
				t.Fatalf("capacity %d: got %d records", capacity, got)
			}
			wantRecord(t, tr, uint64(i), "p", "v")
		}
		unsent := 0
		for _, g := range tr.Unsent() {
			unsent += len(g.Attempts)
		}
		if unsent > capacity {
			t.Errorf("capacity %d: got %d unsent records", capacity, unsent)
		}
	}
}

// A record that the leader hasn't confirmed must be sent again: the call or its reply
// may be lost, and the core instances may be silent for a while.
func TestUnsent(t *testing.T) {
	c := newClock()
	tr := tracer.New(tracer.Config{Now: c.Now})
	if tr.Unsent() != nil {
		t.Errorf("without records: got %v, want nil", tr.Unsent())
	}
	tr.Record(1, "p", "v1")
	tr.Record(2, "p", "v2")
	lost := tr.Unsent()
	tr.Record(3, "p", "v1")
	core := tracer.New(tracer.Config{Now: c.Now})
	core.Merge(lost) // but the reply is lost
	again := tr.Unsent()
	if len(again) != 2 || len(again[0].Attempts) != 2 {
		t.Fatalf("after a lost reply: got %v, want all three records", again)
	}
	tr.Record(4, "p", "v1") // while the call is under way
	core.Merge(again)
	tr.Acknowledge(again)
	if rest := tr.Unsent(); len(rest) != 1 || len(rest[0].Attempts) != 1 || rest[0].Attempts[0] != 4 {
		t.Errorf("after the acknowledgment: got %v, want the record made since", rest)
	}
	for key, version := range map[uint64]string{1: "v1", 2: "v2", 3: "v1"} {
		wantRecord(t, core, key, "p", version)
		wantRecord(t, tr, key, "p", version)
	}
	for i := range 10000 {
		tr.Record(uint64(10+i), "p", "v1")
	}
	for rounds := 0; ; rounds++ {
		batch := tr.Unsent()
		if batch == nil {
			break
		}
		if got := len(batch[0].Attempts); got > 4096 || rounds > 3 {
			t.Fatalf("round %d: got a batch of %d records, want at most 4096", rounds, got)
		}
		core.Merge(batch)
		tr.Acknowledge(batch)
	}
	wantRecord(t, core, 10009, "p", "v1")
}

// Records must survive the restart of an instance from its snapshot, for the whole
// retention from then on.
func TestSnapshot(t *testing.T) {
	c := newClock()
	tr := tracer.New(tracer.Config{Now: c.Now})
	for i := range 100 {
		tr.Record(uint64(i), "p", fmt.Sprint("v", i%3))
		c.advance(500 * time.Millisecond)
	}
	s := &wire.CoreState{}
	tr.Save(s)
	data, err := proto.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var read wire.CoreState
	if err := proto.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	next := tracer.New(tracer.Config{Now: c.Now})
	next.Record(1000, "p", "v9")
	next.Load(&read)
	c.advance(59 * time.Second)
	for i := range 100 {
		wantRecord(t, next, uint64(i), "p", fmt.Sprint("v", i%3))
	}
	wantRecord(t, next, 1000, "", "")
}

// No sequence of merges, lost calls, restarts and pauses may change the version of a
// key: a stream would be joined from two.
func TestRandomExchange(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newClock()
		cfg := tracer.Config{Retention: 10 * time.Second, Capacity: rapid.IntRange(1, 40).Draw(r, "capacity"), Now: c.Now, Complete: true}
		instances := make([]*tracer.Tracer, 4)
		for i := range instances {
			instances[i] = tracer.New(cfg)
		}
		first := map[uint64]string{}
		one := rapid.IntRange(0, len(instances)-1)
		key := rapid.Uint64Range(0, 30)
		r.Repeat(map[string]func(*rapid.T){
			"record": func(r *rapid.T) {
				k, version := key.Draw(r, "key"), rapid.SampledFrom([]string{"v1", "v2"}).Draw(r, "version")
				if _, ok := first[k]; ok {
					return // a request has its first event once
				}
				first[k] = version
				instances[one.Draw(r, "instance")].Record(k, "p", version)
			},
			"send": func(r *rapid.T) {
				from, to := instances[one.Draw(r, "from")], instances[one.Draw(r, "to")]
				batch := from.Unsent()
				if rapid.Bool().Draw(r, "arrives") {
					to.Merge(batch)
				}
				if rapid.Bool().Draw(r, "confirmed") {
					from.Acknowledge(batch)
				}
			},
			"restart": func(r *rapid.T) {
				i := one.Draw(r, "instance")
				s := &wire.CoreState{}
				if rapid.Bool().Draw(r, "snapshot") {
					instances[i].Save(s)
				}
				instances[i] = tracer.New(cfg)
				instances[i].Load(s)
			},
			"pause": func(r *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 12000).Draw(r, "ms")) * time.Millisecond) },
			"": func(r *rapid.T) {
				for i, tr := range instances {
					for k := range uint64(31) {
						if p, v, ok := tr.Find(k); ok && (p != "p" || v != first[k]) {
							r.Fatalf("instance %d, key %d: got %q and %q, want version %q", i, k, p, v, first[k])
						}
					}
					if got := tr.Len(); got > cfg.Capacity {
						r.Fatalf("instance %d: got %d records, want at most %d", i, got, cfg.Capacity)
					}
				}
			},
		})
	})
}
