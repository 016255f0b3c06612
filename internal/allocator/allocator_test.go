package allocator_test

import (
	"fmt"
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

func allotment(instance string, sequence uint64, w *wire.Allowance) *wire.Allotment {
	w.Account = "shop"
	return &wire.Allotment{Instance: instance, Sequence: sequence, Allowances: []*wire.Allowance{w}}
}

// A request that arrives after a later one of the same incarnation must not
// change its limits: the incarnation no longer waits for the reply.
func TestLateRequest(t *testing.T) {
	a := newAllocator()
	a.Apply(allotment("a#1", 2, &wire.Allowance{Want: 100, Need: 100}))
	if got := a.Apply(allotment("a#1", 1, &wire.Allowance{Want: 500, Need: 500})); !got.Stale {
		t.Errorf("late request: got %v, want stale", got)
	}
	if got, want := a.Free("shop"), int64(total-100); got != want {
		t.Errorf("free: got %d, want %d", got, want)
	}
}

// A lost reply must not strand what it granted.
func TestLostReply(t *testing.T) {
	a := newAllocator()
	a.Apply(allotment("a#1", 1, &wire.Allowance{Want: 600, Need: 600}))
	got := a.Apply(allotment("a#1", 2, &wire.Allowance{Limit: 0, Want: 50, Need: 50})).Limits[0]
	if want := int64(50); got.Limit != want || got.Free != total-want {
		t.Errorf("got limit %d and %d free, want %d and %d", got.Limit, got.Free, want, total-want)
	}
}

// Tokens that a killed process held beyond its soft limit may become free again
// only if the boot clock proves that it can't have spent them.
func TestReplacedIncarnation(t *testing.T) {
	second := time.Second.Nanoseconds()
	for _, test := range []struct {
		name    string
		next    *wire.Tenure
		free    int64
		lost    int64
		comment string
	}{
		{"restart within the isolation timeout", &wire.Tenure{Machine: "m", Boot: "b", Started: 11 * second}, total - 300, 200, ""},
		{"restart after the isolation timeout", &wire.Tenure{Machine: "m", Boot: "b", Started: 13 * second}, total - 600, 500, ""},
		{"another boot", &wire.Tenure{Machine: "m", Boot: "c", Started: 11 * second}, total - 600, 500, ""},
		{"unknown boot", &wire.Tenure{Machine: "m", Started: 11 * second}, total - 600, 500, ""},
		{"clock went backwards", &wire.Tenure{Machine: "m", Boot: "b", Started: 9 * second}, total - 600, 500, ""},
		{"another machine", &wire.Tenure{Machine: "n", Boot: "b", Started: 11 * second}, total - 600, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newAllocator()
			q := allotment("m#1", 1, &wire.Allowance{Want: 600, Need: 600, Lock: 300, Used: 100})
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

// A snapshot must hold the whole state: after restoring it, the same requests
// yield the same grants.
func TestSnapshot(t *testing.T) {
	a := newAllocator()
	a.Apply(allotment("a#1", 1, &wire.Allowance{Want: 300, Need: 300, Lock: 100, Used: 40}))
	a.Apply(allotment("b#1", 1, &wire.Allowance{Want: 200, Need: 200}))
	closing := allotment("b#1", 2, &wire.Allowance{Limit: 150})
	closing.Closing = true
	a.Apply(closing)
	s := &wire.CoreState{}
	a.Save(s)
	b := newAllocator()
	b.Load(s)
	for sequence, w := range map[uint64]*wire.Allowance{5: {Limit: 300, Want: 900, Need: 900}, 6: {Limit: 10}} {
		got, want := b.Apply(allotment("a#1", sequence, w)), a.Apply(allotment("a#1", sequence, w))
		if !proto.Equal(got, want) {
			t.Errorf("sequence %d: got %v, want %v", sequence, got, want)
		}
	}
	if got, want := b.Free("shop"), a.Free("shop"); got != want {
		t.Errorf("free: got %d, want %d", got, want)
	}
}

// process is an incarnation on a simulated machine.
type process struct {
	name      string
	boot      string
	sequence  uint64
	limit     int64
	softLimit int64
	used      int64
	started   int64
	answered  int64
}

// With calls, lost replies, late requests, crashes, restarts and losses of power
// in random order, all processes together must never spend more than the budget.
// After a loss of power the boot clocks start from any value.
func TestRandomNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machines := []string{"m", "n", "o"}
		all, alive := map[string]*process{}, map[string]*process{}
		reported := map[string]int64{} // use in the last request that was applied, by process
		a := allocator.New(allocator.Config{
			Budget: func(string) (int64, bool) { return total, true },
			OnReplaced: func(name string, _ time.Duration, _ bool, lost map[string]int64) {
				if got, want := all[name].used-reported[name], lost["shop"]; got > want {
					t.Fatalf("%s spent %d since its last report, want at most the %d that count as spent", name, got, want)
				}
			},
		})
		apply := func(q *wire.Allotment) *wire.AllotmentResult {
			r := a.Apply(q)
			if !r.Stale {
				reported[q.Instance] = q.Allowances[0].Used
			}
			return r
		}
		var delayed []*wire.Allotment
		spent, clock, serial, boots := int64(0), int64(1), 0, 0
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			clock += rapid.SampledFrom([]int64{0, 1, 200, 1000, 2300}).Draw(t, "pause") * time.Millisecond.Nanoseconds()
			m := rapid.SampledFrom(machines).Draw(t, "machine")
			p := alive[m]
			if p == nil {
				serial++
				p = &process{name: fmt.Sprint(m, serial), boot: fmt.Sprint("b", boots), started: clock, answered: clock}
				all[p.name], alive[m] = p, p
			}
			switch rapid.SampledFrom([]string{"spend", "spend", "call", "call", "lost", "late", "arrive", "die", "power"}).Draw(t, "step") {
			case "spend":
				limit := min(p.softLimit, p.limit)
				if clock-p.answered > allocator.IsolationTimeout.Nanoseconds() {
					limit = p.limit
				}
				if n := limit - p.used; n > 0 {
					n -= n / rapid.Int64Range(2, 5).Draw(t, "rest")
					p.used += n
					spent += n
				}
			case "call":
				q := p.request(t, m)
				r := apply(q)
				if !r.Stale {
					p.limit, p.softLimit, p.answered = r.Limits[0].Limit, r.Limits[0].Lock, clock
				}
			case "lost":
				apply(p.request(t, m))
			case "late":
				delayed = append(delayed, p.request(t, m))
			case "arrive":
				if len(delayed) > 0 {
					apply(delayed[0])
					delayed = delayed[1:]
				}
			case "die":
				delete(alive, m)
			case "power":
				clear(alive)
				boots++
				clock = max(clock-rapid.SampledFrom([]int64{-1000, 0, 1500, 2500, 4000}).Draw(t, "clock")*time.Millisecond.Nanoseconds(), 1)
			}
			if spent > total {
				t.Fatalf("spent: got %d, want at most %d", spent, total)
			}
		}
	})
}

// request declares the current limits and asks for more or returns a part.
func (p *process) request(t *rapid.T, machine string) *wire.Allotment {
	p.sequence++
	p.limit = max(p.limit-rapid.Int64Range(0, 50).Draw(t, "less"), p.used)
	want := p.limit + rapid.Int64Range(0, 600).Draw(t, "more")
	softLimit := p.used + rapid.Int64Range(0, 200).Draw(t, "lock")
	p.softLimit = min(p.softLimit, softLimit)
	q := allotment(p.name, p.sequence, &wire.Allowance{Limit: p.limit, Want: want, Need: want, Lock: softLimit, Used: p.used})
	q.Tenure = &wire.Tenure{Machine: machine, Boot: p.boot, Started: p.started, Answered: p.answered}
	return q
}

// A request of a crashed process that arrives after its successor's first call
// must not close the successor.
func TestLateRequestOfReplacedIncarnation(t *testing.T) {
	a := newAllocator()
	onMachine := func(instance string, sequence uint64, started int64, w *wire.Allowance) *wire.Allotment {
		q := allotment(instance, sequence, w)
		q.Tenure = &wire.Tenure{Machine: "m", Boot: "b", Started: started, Answered: started}
		return q
	}
	a.Apply(onMachine("m#1", 1, 10, &wire.Allowance{Want: 100, Need: 100}))
	a.Apply(onMachine("m#2", 1, 20, &wire.Allowance{Want: 200, Need: 200}))
	if got := a.Apply(onMachine("m#1", 2, 10, &wire.Allowance{Want: 300, Need: 300})); !got.Stale {
		t.Errorf("predecessor: got %v, want stale", got)
	}
	// After a power failure the boot clock may start from any value.
	if got := a.Apply(onMachine("m#3", 1, 5, &wire.Allowance{Want: 50, Need: 50})); got.Stale || got.Limits[0].Limit != 50 {
		t.Errorf("successor with a lower clock: got %v, want a limit of 50", got)
	}
	if got := a.Apply(onMachine("m#2", 3, 20, &wire.Allowance{Limit: 200})); !got.Stale {
		t.Errorf("predecessor: got %v, want stale", got)
	}
}

// A request that arrives after the closing one must not reactivate the
// incarnation: nobody would return what it is granted.
func TestLateAfterClosing(t *testing.T) {
	a := newAllocator()
	a.Apply(allotment("a#1", 1, &wire.Allowance{Want: 100, Need: 100}))
	closing := allotment("a#1", 3, &wire.Allowance{Limit: 30})
	closing.Closing = true
	a.Apply(closing)
	a.Apply(allotment("a#1", 2, &wire.Allowance{Want: 500, Need: 500}))
	if got, want := a.Free("shop"), int64(total-30); got != want {
		t.Errorf("free: got %d, want %d", got, want)
	}
}
