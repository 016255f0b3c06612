package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/wire"
)

// A target that rests must get no probe after its ejection and not be the last resort,
// and a shorter rest must not end a longer one. The longest rest is 10 min.
func TestRestBeforeProbe(t *testing.T) {
	for _, pool := range []string{"engines", "services"} {
		b, now := newBalancer(1)
		q := balancer.Query{Pool: pool, Retryable: true, Exclude: map[string]bool{pool + "-far-0": true}}
		for range 2 {
			choose(t, b, q).Done(balancer.ConnectionFailed)
		}
		p := choose(t, b, q)
		p.MarkResting(time.Hour)
		p.MarkResting(time.Second)
		p.Done(balancer.Refused)
		for _, d := range []time.Duration{0, time.Second, 10*time.Minute - 2*time.Second} {
			now.advance(d)
			if p, err := b.Choose(q); err == nil {
				t.Fatalf("got %s, which rests, want none", p.ID())
			}
		}
		now.advance(time.Second)
		choose(t, b, q).Done(balancer.Served)
	}
}

// While the home of a prompt rests, all requests with this prompt must have another
// home, so that its shared parts are read once.
func TestHomeRests(t *testing.T) {
	b, now := newBalancer(8)
	q := prompt("shared", "own")
	home := func() string {
		p := choose(t, b, q)
		defer p.Done(balancer.Served)
		return p.ID()
	}
	first := home()
	p := choose(t, b, q)
	if p.ID() != first {
		t.Fatalf("got %s and %s, want one home", first, p.ID())
	}
	p.MarkResting(5 * time.Second)
	p.Done(balancer.Refused)
	second := home()
	for range 10 {
		if got := home(); got == first || got != second {
			t.Errorf("got %s, want %s while %s rests", got, second, first)
		}
	}
	now.advance(6 * time.Second)
	if got := home(); got != first && got != second {
		t.Errorf("got %s, want a target that keeps the prompt", got)
	}
}

// The time until the first rest ends is known only if all targets of a pool rest.
func TestUntilRest(t *testing.T) {
	b, now := newBalancer(1)
	near := choose(t, b, balancer.Query{Pool: "services"})
	near.MarkResting(3 * time.Second)
	if d, all := b.UntilRest("services"); all {
		t.Errorf("got %v, want a target that doesn't rest", d)
	}
	choose(t, b, balancer.Query{Pool: "services"}).MarkResting(2 * time.Second)
	now.advance(500 * time.Millisecond)
	if d, all := b.UntilRest("services"); d != 1500*time.Millisecond || !all {
		t.Errorf("got %v, %v, want 1.5s, true", d, all)
	}
	near.MarkLeaving()
	if got, want := b.Resting(), 2; got != want {
		t.Errorf("got %d resting targets, want %d", got, want)
	}
	now.advance(2 * time.Second)
	if d, all := b.UntilRest("services"); all {
		t.Errorf("after the rest: got %v, want a target that doesn't rest", d)
	}
	if d, all := b.UntilRest("other"); all {
		t.Errorf("unknown pool: got %v, want no rest", d)
	}
}

// What a target has said must outlast its absence from the list by minutes, reach a
// request that was sent before the list changed, and take a bounded memory.
func TestNoticesOfUnlistedTargets(t *testing.T) {
	b, now := newBalancer(0)
	listing := func(i int, born int64) *wire.Listing {
		return &wire.Listing{Id: fmt.Sprint("s-", i), Born: born, Pool: "services", Address: fmt.Sprint("s", i), Zone: "near"}
	}
	q := balancer.Query{Pool: "services", Retryable: true}
	b.SetTargets([]*wire.Listing{listing(0, 1)})
	p := choose(t, b, q)
	b.SetTargets(nil)
	b.SetTargets([]*wire.Listing{listing(0, 1)})
	p.MarkLeaving()
	p.Done(balancer.Served)
	if _, err := b.Choose(q); err == nil {
		t.Error("got a target that said that it is leaving when the list had changed")
	}
	now.advance(time.Hour) // the list doesn't change
	b.SetTargets(nil)
	now.advance(4 * time.Minute)
	other := listing(1, 1)
	b.SetTargets([]*wire.Listing{other})
	choose(t, b, q).MarkResting(time.Second)
	b.SetTargets([]*wire.Listing{listing(0, 1)})
	if _, err := b.Choose(q); err == nil {
		t.Error("got a target that is leaving after it was not listed for 4 min")
	}
	b.SetTargets([]*wire.Listing{listing(0, 2)})
	choose(t, b, q).Done(balancer.Served)
	for i := range 10000 {
		b.SetTargets([]*wire.Listing{listing(i, 1)})
		if p, err := b.Choose(q); err == nil {
			p.MarkLeaving()
			p.Done(balancer.Served)
		}
	}
	if got, most := balancer.NumNotices(b), 4096; got > most {
		t.Errorf("got %d notices, want at most %d", got, most)
	}
	now.advance(6 * time.Minute)
	b.SetTargets([]*wire.Listing{listing(9999, 1), listing(1, 3)})
	choose(t, b, q).MarkLeaving()
	if got, most := balancer.NumNotices(b), 3; got > most {
		t.Errorf("after 6 min: got %d notices, want at most %d", got, most)
	}
}
