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
	// inFlightCost is the delay caused by each request in flight, in prompt
	// tokens.
	inFlightCost = 120
	// crossZoneCost is the cost of using an engine in another zone, in prompt
	// tokens. Traffic between zones is billed.
	crossZoneCost = 700
	// dialCost is the cost of a new connection, in prompt tokens: it takes a
	// round trip, and targets limit their connections.
	dialCost = 250
	// crossZoneServiceCost is the cost of using a plain service in another
	// zone, in requests in flight.
	crossZoneServiceCost = 2.5
	// queueCost is the cost of waiting for a free slot, in prompt tokens.
	queueCost = 20000
	// serviceQueueCost is the cost of a plain service that is likely to let a request
	// wait, in requests in flight.
	serviceQueueCost = 50
	// homeCachedRatio is the fraction of a prompt's shared tokens assumed to be
	// cached at its home target, even if this instance has not sent them there.
	homeCachedRatio = 0.9
	// recomputeCost is the additional cost of each shared token that must be
	// recomputed: it delays other requests and evicts other parts from the
	// cache.
	recomputeCost = 3
	// busyBackoff is how long to avoid a target after it refused a request
	// because it was full.
	busyBackoff = 150 * time.Millisecond
	// staleAfterMillis is the age of the last announcement, in milliseconds,
	// after which other targets are preferred.
	staleAfterMillis = 5000
	// cacheRatio is the fraction of engine memory assumed to hold cached prompt
	// parts.
	cacheRatio = 0.6
)

// Config configures a Balancer.
type Config struct {
	// Self is the name of this instance, Zone its zone.
	Self, Zone string
	// Random returns a number in [0, n). It defaults to rand.IntN.
	Random func(n int) int
	// Connected reports whether there is an idle connection to an address. If
	// nil, connections are ignored.
	Connected func(address string) bool
	// Admits reports whether the limit that a target has named leaves room for a
	// request, and Take records one. Both are called under the balancer's lock
	// with the lifetime of the target. If nil, targets have no limits.
	Admits func(lifetime string) bool
	Take   func(lifetime string)
	// Confirmed returns the time up to which the list of targets is known to be
	// complete: that of the last contact with who lists them. If nil, it always is.
	Confirmed func() time.Time
	Now       func() time.Time
	Logger    *zap.Logger
}

// Balancer chooses targets and tracks their load. It is safe for concurrent
// use.
type Balancer struct {
	cfg Config

	mu           sync.Mutex
	targets      map[string]*target
	order        []string           // IDs of the targets as listed
	notices      map[string]*notice // by lifetime
	pruned       time.Time          // time of the last search for old notices
	pools        map[string][]*target
	subsets      map[string][]*target   // sampled targets, by pool
	crowded      map[string]bool        // pools whose engines in this zone run more than the others, never one without targets
	zones        map[string]*zoneHealth // other zones, by name
	poolConfigs  map[string]pool.Pool
	failureRates map[string]float64 // by pool
}

// New returns a balancer without targets.
func New(cfg Config) *Balancer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	if cfg.Confirmed == nil {
		cfg.Confirmed = cfg.Now
	}
	if cfg.Connected == nil {
		cfg.Connected = func(string) bool { return true }
	}
	if cfg.Admits == nil {
		cfg.Admits, cfg.Take = func(string) bool { return true }, func(string) {}
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Balancer{cfg: cfg, targets: map[string]*target{}, pools: map[string][]*target{}, poolConfigs: map[string]pool.Pool{}, failureRates: map[string]float64{}, zones: map[string]*zoneHealth{}, notices: map[string]*notice{}, crowded: map[string]bool{}}
}

// SetPools sets the pools of a ruleset.
func (b *Balancer) SetPools(pools []pool.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range pools {
		b.poolConfigs[p.Name] = p
	}
	b.updateCrowded()
}

// SetTargets replaces the list of targets. Targets that are leaving get no new
// requests.
func (b *Balancer) SetTargets(listings []*wire.Listing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keepNotices()
	targets := map[string]*target{}
	b.order = b.order[:0]
	for _, l := range listings {
		t := b.targets[l.Id]
		if t == nil || t.listing.Born != l.Born || t.listing.Address != l.Address {
			t = newTarget(l)
		}
		t.listing, t.notice = l, b.notices[t.lifetime]
		targets[l.Id] = t
		b.order = append(b.order, l.Id)
	}
	b.targets = targets
	b.groupByPool()
}

// SetRemoteLoads replaces the loads reported by all other instances.
func (b *Balancer) SetRemoteLoads(loads []*wire.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.targets {
		t.remote = wire.Load{}
	}
	for _, l := range loads {
		if t := b.targets[l.Target]; t != nil {
			t.setRemote(l)
		}
	}
	b.updateCrowded()
}

// SetTable replaces the loads of all targets with those of a table, less own, which
// the table includes. A table of other targets than those listed is ignored.
func (b *Balancer) SetTable(table *wire.Table, own []*wire.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := table.Loads(len(b.order))
	if loads == nil {
		return
	}
	for i, id := range b.order {
		b.targets[id].setRemote(loads[i])
	}
	for _, l := range own {
		if t := b.targets[l.Target]; t != nil {
			r := &t.remote
			r.Running, r.Unread, r.Memory = max(r.Running-l.Running, 0), max(r.Unread-l.Unread, 0), max(r.Memory-l.Memory, 0)
		}
	}
	b.updateCrowded()
}

// LocalLoads returns the load from this instance on each target.
func (b *Balancer) LocalLoads() []*wire.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*wire.Load
	for id, t := range b.targets {
		if t.running > 0 {
			list = append(list, &wire.Load{Target: id, Running: int32(t.running), Unread: t.pendingTokens, Memory: t.reservedTokens})
		}
	}
	return list
}

// HasAddress reports whether any target has the address.
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

// NumReady returns the number of targets that accept requests.
func (b *Balancer) NumReady() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, list := range b.pools {
		n += len(list)
	}
	return n
}

// Lifetimes returns the lifetimes of the targets of a pool that accept requests.
func (b *Balancer) Lifetimes(pool string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for _, t := range b.pools[pool] {
		list = append(list, t.lifetime)
	}
	return list
}

// Choose returns the target with the lowest expected time to start the request.
// The error wraps fault.Unavailable if there is none, and fault.Overloaded if
// targets are left out only because they are at their limits.
func (b *Balancer) Choose(q Query) (*Pick, error) {
	q.confirmed = b.cfg.Confirmed()
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.pools[q.Pool]
	var best *target
	lowest := math.Inf(1)
	now := b.cfg.Now()
	home := b.home(list, q.Parts, now)
	homeCost := math.Inf(1)
	limited := 0
	try := func(t *target) {
		if t == nil || !q.permits(t, now) || !t.isAvailable(now, q) {
			return
		}
		if !b.cfg.Admits(t.lifetime) {
			limited++
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
	if b.poolConfigs[q.Pool].Engine != nil {
		b.sample(q, list, home, try)
		if b.crowded[q.Pool] {
			try(list[b.cfg.Random(len(list))])
		}
	}
	if lowest >= queueCost {
		for _, t := range list {
			try(t)
		}
	}
	if q.Spare {
		best = b.withRoom(best, lowest, q)
	} else if best == nil {
		best = b.fallback(list, q, now)
	}
	if best == nil && limited > 0 {
		return nil, eris.Wrapf(fault.Overloaded, "the targets of pool %s that accept requests are at their limits, out of %d", q.Pool, len(list))
	}
	if best == nil {
		return nil, q.unavailable(list, now)
	}
	p := b.assign(best, q)
	p.cost, p.homeCost, p.home = lowest, homeCost, best == home
	return p, nil
}

// fallback returns the target whose ejection ends first, for use if all targets are
// ejected. A momentarily full accept queue must not disable a whole pool. The caller
// holds mu.
func (b *Balancer) fallback(list []*target, q Query, now time.Time) *target {
	var best *target
	for _, t := range list {
		if !q.permits(t, now) || !t.isLastResort(now, q) || !b.cfg.Admits(t.lifetime) {
			continue
		}
		if best == nil || t.ejectedUntil.Before(best.ejectedUntil) {
			best = t
		}
	}
	return best
}

// home returns the target that all instances prefer for the shared parts of a
// prompt, by rendezvous hashing.
func (b *Balancer) home(list []*target, parts []Part, now time.Time) *target {
	if len(parts) < 2 {
		return nil
	}
	var best *target
	highest := uint64(0)
	rank := ranker.New(parts[len(parts)-2].ID)
	for _, t := range list {
		if sum := rank.Score(t.listing.Id); !t.isResting(now) && (best == nil || sum > highest) {
			best, highest = t, sum
		}
	}
	return best
}

// cost returns the expected time until the request starts, in prompt tokens for
// engines and in requests for plain services. The caller holds mu.
func (b *Balancer) cost(t *target, q Query, home bool, now time.Time) float64 {
	running := float64(t.running) + float64(t.remote.Running)
	remoteZone := t.listing.Zone != b.cfg.Zone
	engine := b.poolConfigs[q.Pool].Engine
	if engine == nil {
		cost := running
		if remoteZone {
			cost += crossZoneServiceCost
		}
		if b.isUnreachable(t.listing.Zone, now) {
			cost += serviceQueueCost
		}
		return cost + t.penalty(now, serviceQueueCost)
	}
	cached := t.cached(q.Parts)
	if home && cached == 0 {
		for _, p := range q.Parts[:len(q.Parts)-1] {
			cached += int64(homeCachedRatio * float64(p.Tokens))
		}
	}
	cost := float64(t.pendingTokens+t.remote.Unread) + float64(q.Tokens-cached) + inFlightCost*running
	cost += recomputeCost * float64(max(shared(q.Parts)-cached, 0))
	if remoteZone {
		cost += crossZoneCost
	}
	if b.isUnreachable(t.listing.Zone, now) {
		cost += queueCost
	}
	if !b.cfg.Connected(t.listing.Address) {
		cost += dialCost
	}
	reserved := t.reservedTokens + t.remote.Memory
	if running >= float64(engine.Batch) || engine.CacheTokens > 0 && reserved+q.Tokens+q.Output > engine.CacheTokens {
		cost += queueCost
	}
	return cost + t.penalty(now, queueCost)
}

// penalty returns the additional cost of a target that was recently busy, is
// stale or has failed.
func (t *target) penalty(now time.Time, unit float64) float64 {
	cost := unit * t.failureRate
	if now.Sub(t.busySince) < busyBackoff {
		cost += unit
	}
	if t.remote.Silence > staleAfterMillis {
		cost += 2 * unit
	}
	return cost
}

// assign counts a request as in flight on a target. The caller holds mu. Take comes first:
// if it panics, nobody gets the pick and could give it back.
func (b *Balancer) assign(t *target, q Query) *Pick {
	b.cfg.Take(t.lifetime)
	pending := max(q.Tokens-t.cached(q.Parts), 0)
	p := &Pick{b: b, t: t, listing: t.listing, pendingTokens: pending, prefillTokens: pending, reservedTokens: q.Tokens + q.Output, running: t.running + int(t.remote.Running), backlog: t.pendingTokens + t.remote.Unread}
	if t.ejection > 0 {
		t.probes, t.probedAt, p.probe = t.probes+1, b.cfg.Now(), true
	}
	t.running++
	t.pendingTokens += pending
	t.reservedTokens += p.reservedTokens
	if e := b.poolConfigs[q.Pool].Engine; e != nil {
		t.recordPrompt(q.Parts, int64(cacheRatio*float64(e.CacheTokens)))
	}
	return p
}
