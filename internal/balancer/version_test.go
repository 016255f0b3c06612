package balancer_test

import (
	"errors"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
)

// versions lists an engine for each software version.
func versions(born int64, list ...string) []*wire.Listing {
	listings := make([]*wire.Listing, len(list))
	for i, v := range list {
		id := string(rune('a' + i))
		listings[i] = &wire.Listing{Id: id, Born: born, Pool: "engines", Address: id, Zone: "far", Version: v}
	}
	return listings
}

// A request that needs a software version must not get a target of another one:
// not by sampling, not as the home of its prompt and not when all are ejected.
func TestVersion(t *testing.T) {
	b, _ := newBalancer(0)
	b.SetTargets(versions(1, "v1", "v1", "v1", "v2", "v1"))
	wanted := "v2"
	for i := range 20 {
		q := prompt(string(rune('a'+i)), "own")
		q.Version = &wanted
		p := choose(t, b, q)
		if got, want := p.Version(), wanted; got != want {
			t.Errorf("prompt %d: got a target of version %s, want %s", i, got, want)
		}
		if i < 10 {
			p.Done(balancer.Served)
			continue
		}
		p.Done(balancer.ConnectTimeout) // ejects the target after two of them
	}
	wanted = "v3"
	q := prompt("a", "own")
	q.Version = &wanted
	if _, err := b.Choose(q); !errors.Is(err, balancer.ErrVersionGone) || fault.Of(err) != fault.Unavailable {
		t.Errorf("a version that no target has: got %v, want ErrVersionGone", err)
	}
}

// A target whose connections broke may have started again with another software
// version under the same name. Until its announcement has had time to arrive, no
// stream may go on there.
func TestVersionAfterRestart(t *testing.T) {
	b, clock := newBalancer(0)
	b.SetTargets(versions(1, "v1"))
	wanted := "v1"
	q := prompt("a", "own")
	q.Version = &wanted
	choose(t, b, q).Done(balancer.ConnectionLost)
	if p, err := b.Choose(q); err == nil {
		t.Errorf("right after a lost connection: got target %s, want none", p.ID())
	}
	choose(t, b, prompt("a", "own")).Done(balancer.Served) // bound to no version
	clock.advance(time.Second)
	choose(t, b, q).Done(balancer.Served)
	b.SetTargets(versions(2, "v2"))
	if p, err := b.Choose(q); err == nil {
		t.Errorf("the new lifetime has another version: got target %s, want none", p.ID())
	}
}

// In a silence of the core instances nothing announces that a target has started again. A
// stream went on there once a second had passed since its connection was lost, at another
// software version.
func TestVersionAfterRestartInSilence(t *testing.T) {
	c := &clock{time.Unix(1000, 0)}
	confirmed := c.now
	b := balancer.New(balancer.Config{Zone: "near", Now: func() time.Time { return c.now }, Confirmed: func() time.Time { return confirmed }})
	b.SetPools([]pool.Pool{pool.Pool{Name: "engines"}.WithEngine(pool.Engine{Batch: 8, CacheTokens: 100000, TokensPerEvent: 1})})
	b.SetTargets(versions(1, "v1"))
	wanted := "v1"
	q := prompt("a", "own")
	q.Version = &wanted
	earlier := choose(t, b, q)
	choose(t, b, q).Done(balancer.ConnectionLost)
	c.advance(10 * time.Second)
	if p, err := b.Choose(q); err == nil {
		t.Errorf("in the silence: got target %s, want none", p.ID())
	}
	if earlier.Fits(q) {
		t.Error("in the silence: got a target that fits, want none")
	}
	choose(t, b, prompt("a", "own")).Done(balancer.Served) // bound to no version
	confirmed = c.now
	choose(t, b, q).Done(balancer.Served)
}
