package balancer

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// noticeMemory is how long the notice of a target is kept that isn't listed: an
	// older list, or one of a leader that doesn't know yet, may list it again.
	noticeMemory = 5 * time.Minute
	// maxNotices bounds the memory, pruneInterval the time between two searches for
	// notices that are no longer needed.
	maxNotices    = 4096
	pruneInterval = time.Minute
	// maxRest bounds the time for which a target may want no requests.
	maxRest = 10 * time.Minute
)

// notice is what a target has said in its answers to this instance. It belongs to
// one lifetime and doesn't depend on the list of targets.
type notice struct {
	leaving   bool
	restUntil time.Time // the target wants no requests before
	seen      time.Time // last time that the target was listed or said something
}

// MarkLeaving records that the target has said that it is leaving. Its lifetime gets
// no request any more.
func (p *Pick) MarkLeaving() {
	b := p.b
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.notice(p.t)
	if n.leaving {
		return
	}
	n.leaving = true
	b.groupByPool()
	b.cfg.Logger.Info("target is leaving", zap.String("target", p.ID()), zap.String("lifetime", p.t.lifetime))
}

// IsLeaving reports whether the target has said that it is leaving, or is listed as such.
func (p *Pick) IsLeaving() bool {
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	return p.t.isLeaving() || p.t.listing.Leaving
}

// MarkResting records that the target wants no requests for a duration, of which at
// most 10 min count. A shorter duration doesn't end a longer one.
func (p *Pick) MarkResting(d time.Duration) {
	b := p.b
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.notice(p.t)
	until := b.cfg.Now().Add(min(d, maxRest))
	if !until.After(n.restUntil) {
		return
	}
	n.restUntil = until
	b.cfg.Logger.Info("target rests", zap.String("target", p.ID()), zap.Duration("pause", d))
}

// notice returns the notice of a target, which is new if it has none. The caller
// holds mu.
func (b *Balancer) notice(t *target) *notice {
	n := b.notices[t.lifetime]
	if n == nil {
		b.pruneNotices()
		n = &notice{}
		b.notices[t.lifetime] = n
	}
	n.seen = b.cfg.Now()
	// The target may have been listed anew since the request was sent.
	for _, o := range []*target{t, b.targets[t.listing.Id]} {
		if o != nil && o.lifetime == t.lifetime {
			o.notice = n
		}
	}
	return n
}

// pruneNotices removes notices that are no longer needed. If there are too many, it
// removes the older half. The caller holds mu.
func (b *Balancer) pruneNotices() {
	now := b.cfg.Now()
	if len(b.notices) < maxNotices && now.Sub(b.pruned) < pruneInterval {
		return
	}
	b.pruned = now
	maps.DeleteFunc(b.notices, func(_ string, n *notice) bool {
		return now.Sub(n.seen) > noticeMemory && !now.Before(n.restUntil)
	})
	if len(b.notices) < maxNotices {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(b.notices), func(s, t string) int { return b.notices[s].seen.Compare(b.notices[t].seen) })
	for _, lifetime := range oldest[:maxNotices/2] {
		delete(b.notices, lifetime)
	}
}

// keepNotices keeps the notices of all targets that were listed until now. The caller
// holds mu.
func (b *Balancer) keepNotices() {
	now := b.cfg.Now()
	for _, t := range b.targets {
		if t.notice != nil {
			t.notice.seen = now
			b.notices[t.lifetime] = t.notice
		}
	}
}

// groupByPool groups the targets that accept requests by their pools, and updates what
// is computed from the groups. The caller holds mu.
func (b *Balancer) groupByPool() {
	b.pools, b.subsets = map[string][]*target{}, map[string][]*target{}
	for _, id := range b.order {
		t := b.targets[id]
		if l := t.listing; !l.Leaving && !l.Gone && !t.isLeaving() {
			b.pools[l.Pool] = append(b.pools[l.Pool], t)
		}
	}
	for name, list := range b.pools {
		b.subsets[name] = b.subset(list)
	}
	b.updateCrowded()
}

// isLeaving reports whether the target has said that it is leaving.
func (t *target) isLeaving() bool { return t.notice != nil && t.notice.leaving }

// isResting reports whether the target wants no requests now.
func (t *target) isResting(now time.Time) bool {
	return t.notice != nil && now.Before(t.notice.restUntil)
}

// UntilRest returns the time until the first target of a pool accepts requests again
// if all of them rest, and whether they do.
func (b *Balancer) UntilRest(pool string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	first := time.Time{}
	for _, t := range b.pools[pool] {
		if !t.isResting(now) {
			return 0, false
		}
		if until := t.notice.restUntil; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first.Sub(now), !first.IsZero()
}

// Resting returns the number of listed targets that have said that they are leaving or
// that rest.
func (b *Balancer) Resting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range b.targets {
		if t.isLeaving() || t.isResting(b.cfg.Now()) {
			n++
		}
	}
	return n
}
