package router

import (
	"math/rand/v2"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// Config configures a Router.
type Config struct {
	// Zone is the zone of this instance.
	Zone string
	// Ready returns the targets that take new work. Empty arguments don't
	// restrict the list.
	Ready func(zone, model, service string) []*wire.Target
	// Random returns a number in [0, n).
	Random func(n int) int
}

// Router chooses targets and counts the requests that this instance has sent
// to each of them. It is safe for concurrent use.
type Router struct {
	cfg Config

	mu          sync.Mutex
	outstanding map[string]int
}

// New returns a router without outstanding requests.
func New(cfg Config) *Router {
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	return &Router{cfg: cfg, outstanding: map[string]int{}}
}

// Pick chooses a target for a model or a service among those that allowed
// accepts, in this zone if it has one, else in any zone. It counts one
// outstanding request for the target until Done is called. The error wraps
// fault.Unavailable if there is no target.
func (r *Router) Pick(model, service string, allowed func(target string) bool) (*wire.Target, error) {
	for _, zone := range []string{r.cfg.Zone, ""} {
		var candidates []*wire.Target
		for _, t := range r.cfg.Ready(zone, model, service) {
			if allowed(t.Name) {
				candidates = append(candidates, t)
			}
		}
		if len(candidates) > 0 {
			return r.choose(candidates), nil
		}
	}
	return nil, eris.Wrapf(fault.Unavailable, "no target for %s%s", model, service)
}

// Done ends a request that was sent to the target.
func (r *Router) Done(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outstanding[target]--; r.outstanding[target] <= 0 {
		delete(r.outstanding, target)
	}
}

// choose takes the less loaded of two random candidates.
func (r *Router) choose(candidates []*wire.Target) *wire.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.cfg.Random(len(candidates))
	chosen := candidates[i]
	if len(candidates) > 1 {
		j := r.cfg.Random(len(candidates) - 1)
		if j >= i {
			j++
		}
		if r.load(candidates[j]) < r.load(chosen) {
			chosen = candidates[j]
		}
	}
	r.outstanding[chosen.Name]++
	return chosen
}

// load adds what this instance has sent to what the target has reported,
// since reports come late.
func (r *Router) load(t *wire.Target) int {
	return max(int(t.Running+t.Waiting), r.outstanding[t.Name]) + r.outstanding[t.Name]
}
