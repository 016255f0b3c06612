package balancer

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ranker"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
)

const (
	// runningCost is what a request in flight adds to the time until another
	// one begins, in prompt tokens.
	runningCost = 120
	// distanceCost is the cost of another zone in prompt tokens; bytes between
	// zones are paid for.
	distanceCost = 700
	// dialCost is the cost of a new connection in prompt tokens: a round trip,
	// and targets accept only so many.
	dialCost = 250
	// serviceCost is the cost of another zone at a plain service, in requests
	// in flight.
	serviceCost = 2.5
	// fullCost is the cost of a request that has to wait for a place, in prompt
	// tokens.
	fullCost = 20000
	// homeShare is the part of a prompt's shared tokens that its home is taken
	// to keep although this instance hasn't sent them there.
	homeShare = 0.9
	// repeatCost is the further cost of each shared token that is read again:
	// it takes reading time from all others, and room from other parts.
	repeatCost = 3
	// busyTime is the time for which a target that has refused a request for
	// lack of a place is avoided.
	busyTime = 150 * time.Millisecond
	// silence is the time without an announcement, in ms, after which other
	// targets go first.
	silence = 5000
	// cacheShare is the part of the memory of an engine that is taken to hold
	// parts of prompts.
	cacheShare = 0.6
)

// Part is a part of a prompt, from its beginning on.
type Part struct {
	ID     string
	Tokens int64
}

// Query is what the choice depends on.
type Query struct {
	Pool string
	// Parts are the parts of the prompt; nil for other requests.
	Parts []Part
	// Tokens are those of the prompt, Output those of the longest answer.
	Tokens, Output int64
	// Retryable requests may try a target that has failed.
	Retryable bool
	// Exclude are targets that have been tried.
	Exclude map[string]bool
}

// Config configures a Balancer.
type Config struct {
	// Self names this instance, Zone is its zone.
	Self, Zone string
	// Random returns a number in [0, n); nil for the default.
	Random func(n int) int
	// Connected reports whether an idle connection to an address is kept; nil if
	// that doesn't matter.
	Connected func(address string) bool
	Now       func() time.Time
	Logger    *zap.Logger
}

// Balancer is safe for concurrent use.
type Balancer struct {
	cfg Config

	mu      sync.Mutex
	targets map[string]*target
	pools   map[string][]*target
	near    map[string][]*target // subsets of pools, by pool
	zones   map[string]*reach    // other zones
	kinds   map[string]pool.Pool
	rates   map[string]float64 // failure rates of pools
}

// New returns a balancer without targets.
func New(cfg Config) *Balancer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	if cfg.Connected == nil {
		cfg.Connected = func(string) bool { return true }
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Balancer{cfg: cfg, targets: map[string]*target{}, pools: map[string][]*target{}, kinds: map[string]pool.Pool{}, rates: map[string]float64{}, zones: map[string]*reach{}}
}

// SetPools takes the pools of a ruleset.
func (b *Balancer) SetPools(pools []pool.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range pools {
		b.kinds[p.Name] = p
	}
}

// SetTargets replaces the list of targets. Those that are leaving get nothing new.
func (b *Balancer) SetTargets(listings []*wire.Listing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := map[string]*target{}
	b.pools = map[string][]*target{}
	for _, l := range listings {
		t := b.targets[l.Id]
		if t == nil || t.listing.Born != l.Born || t.listing.Address != l.Address {
			t = newTarget(l)
		}
		t.listing = l
		targets[l.Id] = t
		if !l.Leaving && !l.Gone {
			b.pools[l.Pool] = append(b.pools[l.Pool], t)
		}
	}
	b.targets = targets
	b.near = map[string][]*target{}
	for name, list := range b.pools {
		b.near[name] = b.nearest(list)
	}
}

// SetRemoteLoads takes the work of all other instances.
func (b *Balancer) SetRemoteLoads(loads []*wire.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		t.remote = wire.Load{}
	}
	for _, l := range loads {
		if t := b.targets[l.Target]; t != nil {
			t.remote = wire.Load{Running: l.Running, Unread: l.Unread, Memory: l.Memory, Silence: l.Silence}
		}
	}
}

// LocalLoads returns the own work by target.
func (b *Balancer) LocalLoads() []*wire.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*wire.Load
	for id, t := range b.targets {
		if t.running > 0 {
			list = append(list, &wire.Load{Target: id, Running: int32(t.running), Unread: t.unread, Memory: t.memory})
		}
	}
	return list
}

// HasAddress reports whether an address is that of a target.
func (b *Balancer) HasAddress(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		if t.listing.Address == address {
			return true
		}
	}
	return false
}

// NumReady returns the number of targets that take requests.
func (b *Balancer) NumReady() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, list := range b.pools {
		n += len(list)
	}
	return n
}

// Choose returns the target where a request is expected to begin first. The
// error wraps fault.Unavailable if there is none.
func (b *Balancer) Choose(q Query) (*Pick, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.pools[q.Pool]
	var best *target
	lowest := math.Inf(1)
	home := b.home(list, q.Parts)
	now := b.cfg.Now()
	homeCost := math.Inf(1)
	try := func(t *target) {
		if t == nil || q.Exclude[t.listing.Id] || !t.open(now, q.Retryable) {
			return
		}
		cost := b.cost(t, q, t == home, now)
		if t == home {
			homeCost = cost
		}
		if cost < lowest {
			best, lowest = t, cost
		}
	}
	if b.kinds[q.Pool].Engine != nil {
		b.sample(q, list, home, try)
	}
	if lowest >= fullCost {
		for _, t := range list {
			try(t)
		}
	}
	if best == nil {
		best = b.last(list, q)
	}
	if best == nil {
		return nil, eris.Wrapf(fault.Unavailable, "no target of pool %s out of %d takes requests", q.Pool, len(list))
	}
	p := b.pick(best, q)
	p.cost, p.homeCost, p.home = lowest, homeCost, best == home
	return p, nil
}

// last returns, if all targets are taken out, the one that comes back first and
// is known to be alive. A queue of new connections that is full for a moment
// must not stop a whole pool; a request that gets no connection loses nothing.
func (b *Balancer) last(list []*target, q Query) *target {
	var best *target
	for _, t := range list {
		if q.Exclude[t.listing.Id] || t.remote.Silence > 0 || !t.unreached && !q.Retryable {
			continue
		}
		if best == nil || t.until.Before(best.until) {
			best = t
		}
	}
	return best
}

// open reports whether a target may get a request. After a pause one request
// tries it, if it may be repeated.
func (t *target) open(now time.Time, repeatable bool) bool {
	if now.Before(t.until) {
		return false
	}
	return t.pause == 0 || repeatable && !t.trial
}

// home returns the target that all instances prefer for the shared parts of a
// prompt, by the highest hash of both.
func (b *Balancer) home(list []*target, parts []Part) *target {
	if len(parts) < 2 {
		return nil
	}
	var best *target
	highest := uint64(0)
	rank := ranker.New(parts[len(parts)-2].ID)
	for _, t := range list {
		if sum := rank.Score(t.listing.Id); best == nil || sum > highest {
			best, highest = t, sum
		}
	}
	return best
}

// cost returns the expected time until the request begins, in prompt tokens for
// engines and in requests for plain services. The caller holds mu.
func (b *Balancer) cost(t *target, q Query, home bool, now time.Time) float64 {
	running := float64(t.running) + float64(t.remote.Running)
	away := t.listing.Zone != b.cfg.Zone
	engine := b.kinds[q.Pool].Engine
	if engine == nil {
		cost := running
		if away {
			cost += serviceCost
		}
		if b.isCut(t.listing.Zone, now) {
			cost += 50
		}
		return cost + t.reluctance(now, 50)
	}
	cached := t.cached(q.Parts)
	if home && cached == 0 {
		for _, p := range q.Parts[:len(q.Parts)-1] {
			cached += int64(homeShare * float64(p.Tokens))
		}
	}
	cost := float64(t.unread+t.remote.Unread) + float64(q.Tokens-cached) + runningCost*running
	cost += repeatCost * float64(max(shared(q.Parts)-cached, 0))
	if away {
		cost += distanceCost
	}
	if b.isCut(t.listing.Zone, now) {
		cost += fullCost
	}
	if !b.cfg.Connected(t.listing.Address) {
		cost += dialCost
	}
	held := t.memory + t.remote.Memory
	if running >= float64(engine.Batch) || engine.CacheTokens > 0 && held+q.Tokens+q.Output > engine.CacheTokens {
		cost += fullCost
	}
	return cost + t.reluctance(now, fullCost)
}

// shared returns the tokens of the parts that other requests share: all but
// the last.
func shared(parts []Part) int64 {
	sum := int64(0)
	for _, p := range parts[:max(len(parts)-1, 0)] {
		sum += p.Tokens
	}
	return sum
}

// reluctance is the cost of a target that is busy, silent or has failed lately.
func (t *target) reluctance(now time.Time, unit float64) float64 {
	cost := unit * t.failures
	if now.Sub(t.busy) < busyTime {
		cost += unit
	}
	if t.remote.Silence > silence {
		cost += 2 * unit
	}
	return cost
}

// pick notes that a request goes to a target. The caller holds mu.
func (b *Balancer) pick(t *target, q Query) *Pick {
	unread := max(q.Tokens-t.cached(q.Parts), 0)
	p := &Pick{b: b, t: t, unread: unread, reads: unread, held: q.Tokens + q.Output, running: t.running + int(t.remote.Running), backlog: t.unread + t.remote.Unread}
	if t.pause > 0 {
		t.trial, p.trial = true, true
	}
	t.running++
	t.unread += unread
	t.memory += p.held
	if e := b.kinds[q.Pool].Engine; e != nil {
		t.read(q.Parts, int64(cacheShare*float64(e.CacheTokens)))
	}
	return p
}
