package allocator_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/allocator"
	"github.com/papayapond/papayapond/internal/wire"
)

const total = 1000

func newAllocator() *allocator.Allocator {
	return allocator.New(allocator.Config{Budget: func(string) (int64, bool) { return total, true }})
}

func ask(instance string, sequence uint64, w *wire.Allowance) *wire.Allotment {
	w.Account = "shop"
	return &wire.Allotment{Instance: instance, Sequence: sequence, Allowances: []*wire.Allowance{w}}
}

// A request that arrives after a later one of the same incarnation must not
// change its limits: the incarnation doesn't wait for the reply any more.
func TestLateRequest(t *testing.T) {
	a := newAllocator()
	a.Apply(ask("a#1", 2, &wire.Allowance{Want: 100, Need: 100}))
	if got := a.Apply(ask("a#1", 1, &wire.Allowance{Want: 500, Need: 500})); !got.Stale {
		t.Errorf("late request: got %v, want it to be stale", got)
	}
	if got, want := a.Free("shop"), int64(total-100); got != want {
		t.Errorf("free: got %d, want %d", got, want)
	}
}

// A reply that is lost must not strand what it granted.
func TestLostReply(t *testing.T) {
	a := newAllocator()
	a.Apply(ask("a#1", 1, &wire.Allowance{Want: 600, Need: 600}))
	got := a.Apply(ask("a#1", 2, &wire.Allowance{Limit: 0, Want: 50, Need: 50})).Limits[0]
	if want := int64(50); got.Limit != want || got.Free != total-want {
		t.Errorf("got limit %d and %d free, want %d and %d", got.Limit, got.Free, want, total-want)
	}
}

// What a killed process held beyond its lock must be free again only if the
// boot clock proves that it can't have spent it.
func TestSucceed(t *testing.T) {
	second := time.Second.Nanoseconds()
	for _, test := range []struct {
		name    string
		next    *wire.Tenure
		free    int64
		lost    int64
		comment string
	}{
		{"restart within the patience", &wire.Tenure{Machine: "m", Boot: "b", Started: 11 * second}, total - 300, 200, ""},
		{"restart after the patience", &wire.Tenure{Machine: "m", Boot: "b", Started: 13 * second}, total - 600, 500, ""},
		{"another boot", &wire.Tenure{Machine: "m", Boot: "c", Started: 11 * second}, total - 600, 500, ""},
		{"unknown boot", &wire.Tenure{Machine: "m", Started: 11 * second}, total - 600, 500, ""},
		{"clock that ran back", &wire.Tenure{Machine: "m", Boot: "b", Started: 9 * second}, total - 600, 500, ""},
		{"another machine", &wire.Tenure{Machine: "n", Boot: "b", Started: 11 * second}, total - 600, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAllocator()
			q := ask("m#1", 1, &wire.Allowance{Want: 600, Need: 600, Lock: 300, Used: 100})
			q.Tenure = &wire.Tenure{Machine: "m", Boot: "b", Started: second, Answered: 10 * second}
			a.Apply(q)
			a.Apply(&wire.Allotment{Instance: "m#2", Sequence: 1, Tenure: test.next})
			if got := a.Free("shop"); got != test.free {
				t.Errorf("free: got %d, want %d", got, test.free)
			}
			if got := a.Lost("shop"); got != test.lost {
				t.Errorf("lost: got %d, want %d", got, test.lost)
			}
		})
	}
}

// A snapshot must hold all of the state: an instance that restores it grants
// the same as one that has applied all requests.
func TestSnapshot(t *testing.T) {
	a := newAllocator()
	a.Apply(ask("a#1", 1, &wire.Allowance{Want: 300, Need: 300, Lock: 100, Used: 40}))
	a.Apply(ask("b#1", 1, &wire.Allowance{Want: 200, Need: 200}))
	closing := ask("b#1", 2, &wire.Allowance{Limit: 150})
	closing.Closing = true
	a.Apply(closing)
	s := &wire.CoreState{}
	a.Save(s)
	b := newAllocator()
	b.Load(s)
	for sequence, w := range map[uint64]*wire.Allowance{5: {Limit: 300, Want: 900, Need: 900}, 6: {Limit: 10}} {
		got, want := b.Apply(ask("a#1", sequence, w)), a.Apply(ask("a#1", sequence, w))
		if !proto.Equal(got, want) {
			t.Errorf("sequence %d: got %v, want %v", sequence, got, want)
		}
	}
	if got, want := b.Free("shop"), a.Free("shop"); got != want {
		t.Errorf("free: got %d, want %d", got, want)
	}
}

// process is an incarnation of a simulated machine.
type process struct {
	name     string
	sequence uint64
	limit    int64
	lock     int64
	used     int64
	started  int64
	answered int64
}

// Over random orders of calls, lost replies, requests that arrive late, deaths
// and restarts, all processes together must never spend more than the budget.
func TestRandomNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAllocator()
		machines := []string{"m", "n", "o"}
		alive := map[string]*process{}
		var delayed []*wire.Allotment
		spent, clock, serial := int64(0), int64(1), 0
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			clock += rapid.Int64Range(0, time.Second.Nanoseconds()).Draw(t, "pause")
			m := rapid.SampledFrom(machines).Draw(t, "machine")
			p := alive[m]
			if p == nil {
				serial++
				p = &process{name: m + string(rune('A'+serial)), started: clock, answered: clock}
				alive[m] = p
			}
			switch rapid.SampledFrom([]string{"spend", "spend", "call", "call", "lost", "late", "arrive", "die"}).Draw(t, "step") {
			case "spend":
				bound := min(p.lock, p.limit)
				if clock-p.answered > allocator.IsolationTimeout.Nanoseconds() {
					bound = p.limit
				}
				if n := bound - p.used; n > 0 && rapid.Bool().Draw(t, "all") {
					p.used += n
					spent += n
				}
			case "call":
				q := p.request(t, m)
				r := a.Apply(q)
				if !r.Stale {
					p.limit, p.lock, p.answered = r.Limits[0].Limit, r.Limits[0].Lock, clock
				}
			case "lost":
				a.Apply(p.request(t, m))
			case "late":
				delayed = append(delayed, p.request(t, m))
			case "arrive":
				if len(delayed) > 0 {
					a.Apply(delayed[0])
					delayed = delayed[1:]
				}
			case "die":
				delete(alive, m)
			}
			if spent > total {
				t.Fatalf("spent: got %d, want at most %d", spent, total)
			}
		}
	})
}

// request declares the present limits and asks for more or gives up a part.
func (p *process) request(t *rapid.T, machine string) *wire.Allotment {
	p.sequence++
	p.limit = max(p.limit-rapid.Int64Range(0, 50).Draw(t, "less"), p.used)
	want := p.limit + rapid.Int64Range(0, 600).Draw(t, "more")
	lock := p.used + rapid.Int64Range(0, 200).Draw(t, "lock")
	p.lock = min(p.lock, lock)
	q := ask(p.name, p.sequence, &wire.Allowance{Limit: p.limit, Want: want, Need: want, Lock: lock, Used: p.used})
	q.Tenure = &wire.Tenure{Machine: machine, Boot: "b", Started: p.started, Answered: p.answered}
	return q
}

// A request of a dead process that arrives after its successor has called must
// not end the successor.
func TestLatePredecessor(t *testing.T) {
	a := newAllocator()
	of := func(instance string, sequence uint64, started int64, w *wire.Allowance) *wire.Allotment {
		q := ask(instance, sequence, w)
		q.Tenure = &wire.Tenure{Machine: "m", Boot: "b", Started: started, Answered: started}
		return q
	}
	a.Apply(of("m#1", 1, 10, &wire.Allowance{Want: 100, Need: 100}))
	a.Apply(of("m#2", 1, 20, &wire.Allowance{Want: 200, Need: 200}))
	if got := a.Apply(of("m#1", 2, 10, &wire.Allowance{Want: 300, Need: 300})); !got.Stale {
		t.Errorf("predecessor: got %v, want it to be stale", got)
	}
	// After a loss of power the boot clock starts from any value.
	if got := a.Apply(of("m#3", 1, 5, &wire.Allowance{Want: 50, Need: 50})); got.Stale || got.Limits[0].Limit != 50 {
		t.Errorf("successor with a lower clock: got %v, want a limit of 50", got)
	}
	if got := a.Apply(of("m#2", 3, 20, &wire.Allowance{Limit: 200})); !got.Stale {
		t.Errorf("predecessor: got %v, want it to be stale", got)
	}
}

// A request that arrives after the last one of an incarnation must not open it
// again: nobody would return what it is granted.
func TestLateAfterClosing(t *testing.T) {
	a := newAllocator()
	a.Apply(ask("a#1", 1, &wire.Allowance{Want: 100, Need: 100}))
	closing := ask("a#1", 3, &wire.Allowance{Limit: 30})
	closing.Closing = true
	a.Apply(closing)
	a.Apply(ask("a#1", 2, &wire.Allowance{Want: 500, Need: 500}))
	if got, want := a.Free("shop"), int64(total-30); got != want {
		t.Errorf("free: got %d, want %d", got, want)
	}
}
