package regulator

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ranker"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// minRate is the lowest rate that is used, in requests a second. Without
	// requests there is no answer that lifts the limit.
	minRate = 0.2
	// shareDuration is how long a share from the leader is used. A few calls may
	// be lost.
	shareDuration = 1500 * time.Millisecond
	// reportDuration is how long an answer is reported to the leader.
	reportDuration = 2 * time.Second
	// liftedMemory is how long a lifted limit is remembered, so that older reports
	// don't restore it.
	liftedMemory = 10 * time.Second
	// limitMemory is how long a limit lasts without an answer of the target.
	limitMemory = time.Minute
	// burstTime times the share is what a bucket holds at most, at least one
	// request.
	burstTime = 500 * time.Millisecond
	// demandTime is the time constant of the demand.
	demandTime = 4 * time.Second
	// minDemand is the demand below which none is reported, in requests a second.
	minDemand = 0.05
	// minRetryAfter and maxRetryAfter bound the time after which a refused request
	// may come back.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	// maxLimits bounds the memory.
	maxLimits = 4096
)

// Config configures a Regulator.
type Config struct {
	// Self is the address of this instance.
	Self string
	// Random returns a number in [0, 1). It defaults to rand.Float64.
	Random func() float64
	Now    func() time.Time
	Logger *zap.Logger
}

// Regulator holds the limits of targets and this instance's share of them. It is
// safe for concurrent use. It calls no other component under its lock.
type Regulator struct {
	cfg Config

	hasLimits atomic.Bool // limits may hold some; spares the lock otherwise

	mu      sync.Mutex
	limits  map[string]*limit // by target with its lifetime
	members []string          // addresses of all entry instances
}

// limit is the limit of one target.
type limit struct {
	rate   float64 // requests a second
	lifted bool
	named  time.Time // time of the answer that named or lifted it

	fallback   float64 // share without the leader, in requests a second
	share      float64 // share from the leader
	shareUntil time.Time

	tokens float64 // requests that may be sent now
	filled time.Time

	demand   float64 // requests a second for which the target was considered
	measured time.Time
}

// New returns a regulator without limits.
func New(cfg Config) *Regulator {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Regulator{cfg: cfg, limits: map[string]*limit{}}
}

// Observe records the limit in an answer to a request that was sent at a time; ""
// means that the answer names none. Only an answer to a request that was sent after
// the limit was named lifts it, since earlier answers may still be under way.
func (r *Regulator) Observe(target, named string, sent time.Time) {
	if named == "" && !r.hasLimits.Load() {
		return
	}
	now := r.cfg.Now()
	rate, err := strconv.ParseFloat(strings.TrimSpace(named), 64)
	valid := err == nil && rate >= 0 && !math.IsInf(rate, 0)
	if named != "" && !valid {
		r.cfg.Logger.Warn("target named an invalid limit", zap.String("target", target), zap.String("limit", named))
		return
	}
	if r.observe(target, rate, named == "", sent, now) {
		r.cfg.Logger.Info("target limit changed", zap.String("target", target), zap.String("limit", named))
	}
}

// observe stores what an answer says about the limit, and reports whether that changes it.
func (r *Regulator) observe(target string, rate float64, unnamed bool, sent, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[target]
	if unnamed && (l == nil || l.lifted || !sent.After(l.named)) {
		return false
	}
	return r.set(target, max(rate, minRate), unnamed, now)
}

// set stores a statement of a target and reports whether it changes the limit. The
// caller holds mu.
func (r *Regulator) set(target string, rate float64, lifted bool, at time.Time) bool {
	l := r.limits[target]
	if l == nil {
		if len(r.limits) >= maxLimits {
			r.expire()
		}
		l = &limit{lifted: true, filled: r.cfg.Now(), measured: r.cfg.Now()}
		r.limits[target] = l
		r.hasLimits.Store(true)
	}
	if at.Before(l.named) {
		return false
	}
	changed := lifted != l.lifted || !lifted && rate != l.rate
	l.named, l.lifted = at, lifted
	if changed && !lifted {
		l.rate = rate
		l.fallback = r.fallback(target, rate)
		l.shareUntil = time.Time{} // the share belongs to the old rate
	}
	return changed
}

// expire removes limits of targets that haven't answered for long, and makes room
// for one more. The caller holds mu.
func (r *Regulator) expire() {
	now := r.cfg.Now()
	maps.DeleteFunc(r.limits, func(_ string, l *limit) bool { return l.isExpired(now) })
	for len(r.limits) >= maxLimits {
		oldest := ""
		for target, l := range r.limits {
			if oldest == "" || l.named.Before(r.limits[oldest].named) {
				oldest = target
			}
		}
		delete(r.limits, oldest)
	}
}

func (l *limit) isExpired(now time.Time) bool {
	memory := limitMemory
	if l.lifted {
		memory = liftedMemory
	}
	return now.Sub(l.named) > memory
}

// SetMembers sets the addresses of all entry instances.
func (r *Regulator) SetMembers(members []*wire.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = nil
	for _, m := range members {
		r.members = append(r.members, m.Address)
	}
	for target, l := range r.limits {
		l.fallback = r.fallback(target, l.rate)
	}
}

// fallback returns the share of a rate that this instance has without the leader.
// The caller holds mu.
func (r *Regulator) fallback(target string, rate float64) float64 {
	if len(r.members) == 0 {
		return rate
	}
	n := min(max(int(rate), 1), len(r.members))
	if !slices.Contains(ranker.New(target).Order(slices.Clone(r.members))[:n], r.cfg.Self) {
		return 0
	}
	return rate / float64(n)
}

// Admits reports whether the target may get a request now. It counts the request
// towards the demand for the target.
func (r *Regulator) Admits(target string) bool {
	if !r.hasLimits.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[target]
	if l == nil || l.lifted {
		return true
	}
	now := r.cfg.Now()
	if l.isExpired(now) {
		delete(r.limits, target)
		return true
	}
	l.measure(now)
	l.demand += 1 / demandTime.Seconds()
	l.fill(now)
	return l.tokens >= 1
}

// Take records that the target gets a request.
func (r *Regulator) Take(target string) {
	if !r.hasLimits.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.limits[target]; l != nil && !l.lifted {
		l.fill(r.cfg.Now())
		l.tokens = max(l.tokens-1, 0)
	}
}

// current returns the share of this instance, in requests a second.
func (l *limit) current(now time.Time) float64 {
	if now.Before(l.shareUntil) {
		return l.share
	}
	return l.fallback
}

// fill adds the tokens of the time since the last call. An instance without a share
// keeps none, so that the tokens of all instances don't add up.
func (l *limit) fill(now time.Time) {
	share := l.current(now)
	if share == 0 {
		l.tokens = 0
	}
	l.tokens = min(l.tokens+share*now.Sub(l.filled).Seconds(), max(1, share*burstTime.Seconds()))
	l.filled = now
}

// measure lets the demand decay.
func (l *limit) measure(now time.Time) {
	l.demand *= math.Exp(-now.Sub(l.measured).Seconds() / demandTime.Seconds())
	l.measured = now
}

// RetryAfter returns when a request may come back that was refused because all of
// the targets are at their limits. Refused requests are spread over the time that
// the share of this instance needs for them.
func (r *Regulator) RetryAfter(targets []string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	share, demand := 0.0, 0.0
	for _, target := range targets {
		if l := r.limits[target]; l != nil && !l.lifted {
			l.measure(now)
			share += l.current(now)
			demand = max(demand, l.demand)
		}
	}
	spread := minRetryAfter // other instances may have a share
	if share > 0 {
		waiting := max(demand-share, 0) * demandTime.Seconds() // refused within demandTime
		spread = time.Duration(min(waiting/share, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return min(minRetryAfter+time.Duration(r.cfg.Random()*float64(spread)), maxRetryAfter)
}

// Report returns what the leader needs: recent statements of targets, and the
// limits for which there is demand.
func (r *Regulator) Report() []*wire.TargetLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasLimits.Store(len(r.limits) > 0)
	now := r.cfg.Now()
	var list []*wire.TargetLimit
	for _, target := range slices.Sorted(maps.Keys(r.limits)) {
		l := r.limits[target]
		if l.isExpired(now) {
			delete(r.limits, target)
			continue
		}
		l.measure(now)
		if now.Sub(l.named) > reportDuration && l.demand < minDemand {
			continue
		}
		q := &wire.TargetLimit{Target: target, Rate: l.rate, Lifted: l.lifted, Age: now.Sub(l.named).Milliseconds()}
		if l.demand >= minDemand {
			q.Demand = l.demand
		}
		list = append(list, q)
	}
	return list
}

// Apply applies the limits and shares of a reply of the leader.
func (r *Regulator) Apply(limits []*wire.TargetLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for _, q := range limits {
		at := now.Add(-time.Duration(max(q.Age, 0)) * time.Millisecond)
		r.set(q.Target, max(q.Rate, minRate), q.Lifted, at)
		l := r.limits[q.Target]
		if l.lifted || l.rate != max(q.Rate, minRate) {
			continue // a newer statement is known here
		}
		l.fill(now)
		l.share, l.shareUntil = max(q.Share, 0), now.Add(shareDuration)
	}
}

// Limited returns the number of targets with a limit.
func (r *Regulator) Limited() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.limits {
		if !l.lifted && !l.isExpired(r.cfg.Now()) {
			n++
		}
	}
	return n
}
