package spender

import (
	"math"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// Declare returns the limits that are kept until the reply, and those asked
// for. What is declared lower is given up at once.
func (s *Spender) Declare() []*wire.Allowance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	var list []*wire.Allowance
	for name, a := range s.accounts {
		list = append(list, s.declare(name, a, now))
	}
	return list
}

// declare updates the demand of an account and returns its allowance. The
// caller holds mu.
func (s *Spender) declare(name string, a *account, now time.Time) *wire.Allowance {
	if elapsed := now.Sub(a.at).Seconds(); elapsed > 0.02 {
		weight := 1 - math.Exp(-elapsed/memory.Seconds())
		if age := now.Sub(a.begun).Seconds(); !a.begun.IsZero() && age < memory.Seconds() {
			// Until then, the average is over the time since the first request.
			weight = min(max(weight, elapsed/max(age, 1)), 1)
		}
		a.rate += weight * (max(float64(a.taken-a.last), 0)/elapsed - a.rate)
		a.last, a.at = a.taken, now
		a.zone -= weight * a.zone
		a.whole -= weight * a.whole
		a.largest -= int64(weight * float64(a.largest) / 8)
	}
	need := a.used
	for w := range a.waiting {
		need += w.tokens
	}
	if len(a.waiting) == 0 {
		need = 0
	}
	h := s.hold(name, a)
	if target := max(a.used+int64(keep*float64(h.limit)), 0); a.limit > target {
		a.limit = target
	}
	q := &wire.Allowance{Account: name, Limit: a.limit, Need: max(need, 0), Used: max(a.used, 0), Rate: int64(a.rate)}
	if float64(a.limit-a.used) < low*float64(h.limit) || need > a.limit {
		q.Want = max(a.used+h.limit, need, 0)
	}
	q.Lock = max(a.used+h.lock, need, 0)
	a.lock = min(a.lock, q.Lock)
	return q
}

// holding is what is held of an account beyond the use, in tokens: the whole,
// and the part for the time in which the core instances answer, or until they
// have been silent for long.
type holding struct{ limit, lock int64 }

// hold returns what is to be held of an account. The caller holds mu.
func (s *Spender) hold(name string, a *account) holding {
	if !a.known || a.total <= 0 {
		return holding{}
	}
	part := float64(a.free) / float64(a.total)
	if part < scarce {
		return holding{}
	}
	// The square keeps what a loss of power strands small when little is left.
	factor := min(part*part/(ample*ample), 1)
	if whole := max(a.whole, a.rate) * s.cfg.Horizon.Seconds(); whole > 0 {
		factor = min(parkedShare*float64(a.free)/whole, factor)
	}
	rate, fleet := a.rate, 1/float64(max(s.entries, 1))
	if s.cfg.DemandShare != nil {
		if zone, all, known := s.cfg.DemandShare(name); known {
			if zone == 0 {
				// The lenders hold the rest.
				near := int64(a.rate * nearTime.Seconds() * factor)
				return holding{near, near}
			}
			rate, fleet = max(a.zone*zone, a.rate), all
		}
	}
	first := 0.0
	if part > ample {
		first = firstShare * float64(a.total) * fleet
	}
	largest := 0.0
	if part > ample/2 {
		largest = min(float64(a.largest), largestShare*float64(a.free)*fleet)
	}
	limit := int64(max(rate*s.cfg.Horizon.Seconds()*factor+largest, first))
	share := nearTime.Seconds() / s.cfg.Horizon.Seconds()
	lock := max(int64(share*float64(limit)), int64(rate*nearTime.Seconds())+a.largest)
	return holding{limit, min(limit, lock)}
}
