package router

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/hasher"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// defaultPrefill is the assumed time to process one uncached prompt token.
	defaultPrefill = 40 * time.Microsecond
	// defaultLag is the assumed age of a load report on arrival.
	defaultLag = 700 * time.Millisecond
	// retention is the time after which an unused target is forgotten.
	retention = 10 * time.Minute
	// defaultSlots is the number of slots of a target that announces none.
	defaultSlots = 16
	// maxTurn limits the random initial position of the rotation. It is random
	// so that instances started together do not go in lockstep.
	maxTurn = 1 << 16
	// smoothing is the weight of the newest duration in the mean.
	smoothing = 0.05
)

// Config configures a Router.
type Config struct {
	// Zone is the zone of this instance.
	Zone string
	// Ready returns the targets that accept new requests. Empty arguments match
	// everything.
	Ready func(zone, model, service string) []*wire.Target
	// Policy is one of Policies; empty means DefaultPolicy.
	Policy string
	// Prefill is the assumed time per prompt token, ReportLag the assumed age
	// of a load report on arrival. Zero selects a default.
	Prefill, ReportLag time.Duration
	// Random returns a number in [0, n). It defaults to rand.IntN.
	Random func(n int) int
	Now    func() time.Time
}

// Router chooses targets and tracks their state. It is safe for concurrent use.
type Router struct {
	cfg    Config
	choose policy

	mu           sync.Mutex
	states       map[string]*state
	turn         int           // rotation position
	meanDuration time.Duration // mean duration of a request
	lastSweep    time.Time
}

// query is a request that needs a target.
type query struct {
	tokens int // of the prompt
	blocks []uint64
	now    time.Time
}

// candidate is a target that can serve a request.
type candidate struct {
	*state
	target *wire.Target
	load   float64 // estimated requests at the target
	cached int     // prompt tokens that are probably cached
}

// New returns a Router without outstanding requests. The error wraps
// fault.Malformed if the policy is unknown.
func New(cfg Config) (*Router, error) {
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Policy == "" {
		cfg.Policy = DefaultPolicy
	}
	if cfg.Prefill == 0 {
		cfg.Prefill = defaultPrefill
	}
	if cfg.ReportLag == 0 {
		cfg.ReportLag = defaultLag
	}
	choose, ok := policies[cfg.Policy]
	if !ok {
		return nil, eris.Wrapf(fault.Malformed, "unknown policy %q, want one of %v", cfg.Policy, Policies())
	}
	return &Router{cfg: cfg, choose: choose, states: map[string]*state{}, turn: cfg.Random(maxTurn)}, nil
}

// Pick chooses a target for a model or a service among those accepted by
// allowed. It prefers this zone while it has a free slot. Prompt is the prefix
// text of the request, or nil. The request counts as outstanding until done is
// called. The error wraps fault.Unavailable if there is no target.
func (r *Router) Pick(model, service string, prompt []byte, allowed func(target string) bool) (t *wire.Target, done func(), err error) {
	q := &query{tokens: tokenCount(len(prompt)), blocks: hasher.New(model).Hashes(prompt, maxBlocks), now: r.cfg.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(q.now)
	candidates := r.candidates(q, r.cfg.Ready(r.cfg.Zone, model, service), func(t *wire.Target) bool { return allowed(t.Name) })
	if isFull(candidates) {
		others := r.candidates(q, r.cfg.Ready("", model, service), func(t *wire.Target) bool {
			return t.Zone != r.cfg.Zone && allowed(t.Name)
		})
		if len(candidates) > 0 {
			others = slices.DeleteFunc(others, func(c candidate) bool { return c.load >= c.slots() })
		}
		if len(others) > 0 {
			candidates = others
		}
	}
	if len(candidates) == 0 {
		return nil, nil, eris.Wrapf(fault.Unavailable, "no target available for %s%s", model, service)
	}
	t, done = r.assign(q, candidates)
	return t, done, nil
}

// PickSuspect chooses a target for content suspected of crashing targets. It
// ranks the targets of all zones by rendezvous hashing of the digest, so that
// all instances that send the content at the same time choose the same target.
// Otherwise it is like Pick.
func (r *Router) PickSuspect(model, service string, digest []byte, allowed func(target string) bool) (t *wire.Target, done func(), err error) {
	q := &query{now: r.cfg.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.candidates(q, r.cfg.Ready("", model, service), func(t *wire.Target) bool { return allowed(t.Name) })
	if len(candidates) == 0 {
		return nil, nil, eris.Wrapf(fault.Unavailable, "no target available for %s%s", model, service)
	}
	h := fnv.New64a()
	_, _ = h.Write(digest)
	best := slices.MaxFunc(candidates, func(a, b candidate) int {
		return cmp.Compare(rendezvousScore(h.Sum64(), a.target.Name), rendezvousScore(h.Sum64(), b.target.Name))
	})
	t, done = r.assign(q, []candidate{best})
	return t, done, nil
}

// candidates returns the state of the targets for which accept returns true.
func (r *Router) candidates(q *query, targets []*wire.Target, accept func(*wire.Target) bool) []candidate {
	candidates := make([]candidate, 0, len(targets))
	sum := 0.0
	for _, t := range targets {
		if !accept(t) {
			continue
		}
		s := r.states[t.Name]
		if s == nil {
			s = newState()
			s.lastTurn = -r.cfg.Random(maxTurn)
			r.states[t.Name] = s
		}
		s.cache.limit = min(maxCache, maxTotal/len(r.states))
		s.update(t, q.now, r.cfg.ReportLag)
		sum += s.remote
		candidates = append(candidates, candidate{
			state: s, target: t,
			cached: min(s.cache.match(q.blocks)*blockTokens, max(q.tokens-1, 0)),
		})
	}
	mean := sum / float64(max(len(candidates), 1))
	for i := range candidates {
		candidates[i].estimate(q.now, mean, r.cfg.ReportLag)
	}
	return candidates
}

// assign chooses one of the candidates and counts the request as outstanding.
func (r *Router) assign(q *query, candidates []candidate) (*wire.Target, func()) {
	chosen := candidates[r.choose(r, q, candidates)]
	r.turn++
	chosen.lastTurn = r.turn
	chosen.recordSent(q, chosen.cached, r.cfg.Prefill)
	var once sync.Once
	return chosen.target, func() {
		once.Do(func() { r.done(chosen.state, q.now) })
	}
}

// isFull reports whether no candidate has a free slot.
func isFull(candidates []candidate) bool {
	for i := range candidates {
		if candidates[i].load < candidates[i].slots() {
			return false
		}
	}
	return true
}

// slots returns the batch size of a candidate.
func (c *candidate) slots() float64 {
	if c.target.Slots == 0 {
		return defaultSlots
	}
	return float64(c.target.Slots)
}

func (r *Router) done(s *state, start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	s.adjust(now, -1)
	duration := now.Sub(start)
	if r.meanDuration == 0 {
		r.meanDuration = duration
	}
	r.meanDuration += time.Duration(smoothing * float64(duration-r.meanDuration))
}

// sweep removes targets that have not been used for the retention time.
func (r *Router) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < retention {
		return
	}
	r.lastSweep = now
	for name, s := range r.states {
		if s.outstanding == 0 && now.Sub(s.lastUsed) > retention {
			delete(r.states, name)
		}
	}
}
