package spender

import (
	"math"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// Declare returns, for each account that has changed since it was last answered or
// that wasn't declared for redeclareTime, the limit that is kept until the reply and
// the limit that is requested. Whatever exceeds the declared limit is released
// immediately.
func (s *Spender) Declare() []*wire.Allowance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	var list []*wire.Allowance
	for name, a := range s.accounts {
		if q := s.declare(name, a, now); a.isDue(q, now, s.redeclareTime()) {
			list = append(list, q)
			a.declared = q
		}
	}
	return list
}

// redeclareTime returns the time after which an account is declared although nothing
// has changed. The caller holds mu.
func (s *Spender) redeclareTime() time.Duration {
	return min(max(entryRedeclareTime*time.Duration(s.entries), minRedeclareTime), maxRedeclareTime)
}

// isDue reports whether an allowance must be declared.
func (a *account) isDue(q *wire.Allowance, now time.Time, redeclareTime time.Duration) bool {
	return a.answered == nil || now.Sub(a.answeredAt) >= redeclareTime || q.Want > 0 || q.Need > 0 ||
		q.Limit != a.answered.Limit || q.Used != a.answered.Used
}

// declare updates the demand of an account and returns its allowance. The
// caller holds mu.
func (s *Spender) declare(name string, a *account, now time.Time) *wire.Allowance {
	if elapsed := now.Sub(a.updated).Seconds(); elapsed > 0.02 {
		weight := 1 - math.Exp(-elapsed/averagingTime.Seconds())
		if age := now.Sub(a.firstUse).Seconds(); !a.firstUse.IsZero() && age < averagingTime.Seconds() {
			// Average over the time since the first request instead.
			weight = min(max(weight, elapsed/max(age, 1)), 1)
		}
		a.rate += weight * (max(float64(a.localUsed-a.lastLocalUsed), 0)/elapsed - a.rate)
		a.lastLocalUsed, a.updated = a.localUsed, now
		a.largest -= int64(weight * float64(a.largest) / 8)
	}
	need := a.used
	for w := range a.waiters {
		need += w.tokens
	}
	if len(a.waiters) == 0 {
		need = 0
	}
	h := s.headroomFor(name, a)
	if keep := max(a.used+int64(returnThreshold*float64(h.limit)), 0); a.limit > keep {
		a.limit = keep
	}
	q := &wire.Allowance{Account: name, Limit: a.limit, Need: max(need, 0), Used: max(a.used, 0), Rate: int64(a.rate)}
	if float64(a.limit-a.used) < requestThreshold*float64(h.limit) || need > a.limit {
		q.Want = max(a.used+h.limit, need, 0)
	}
	q.Lock = max(a.used+h.softLimit, need, 0)
	a.softLimit = min(a.softLimit, q.Lock)
	return q
}

// headroom is the number of tokens to hold beyond current use: the full limit,
// and the part that may be spent before the instance counts as isolated.
type headroom struct{ limit, softLimit int64 }

// headroomFor returns the headroom of an account. The caller holds mu.
func (s *Spender) headroomFor(name string, a *account) headroom {
	if !a.synced || a.budget <= 0 {
		return headroom{}
	}
	freeShare := float64(a.free) / float64(a.budget)
	if freeShare < minFreeShare {
		return headroom{}
	}
	// The square keeps the loss from a power failure small when little is left.
	factor := min(freeShare*freeShare/(fullHorizonShare*fullHorizonShare), 1)
	if demand := max(a.fleetRate, a.rate) * s.cfg.Horizon.Seconds(); demand > 0 {
		factor = min(maxFleetShare*float64(a.free)/demand, factor)
	}
	rate, fleetShare := a.rate, 1/float64(max(s.entries, 1))
	if s.cfg.DemandShare != nil {
		if zoneShare, ofFleet, known := s.cfg.DemandShare(name); known {
			if zoneShare == 0 {
				// The lenders hold the tokens beyond the soft limit.
				limit := int64(a.rate * softLimitTime.Seconds() * factor)
				return headroom{limit, limit}
			}
			rate, fleetShare = max(a.zoneRate*zoneShare, a.rate), ofFleet
		}
	}
	initial := 0.0
	if freeShare > fullHorizonShare {
		initial = initialShare * float64(a.budget) * fleetShare
	}
	largest := min(float64(a.largest), largestReservationShare*float64(a.free)*fleetShare)
	limit := int64(max((rate*s.cfg.Horizon.Seconds()+largest)*factor, initial))
	softShare := softLimitTime.Seconds() / s.cfg.Horizon.Seconds()
	softLimit := max(int64(softShare*float64(limit)), int64(rate*softLimitTime.Seconds())+a.largest)
	return headroom{limit, min(limit, softLimit)}
}
