package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// parts is the number of parts of the free tokens of which one incarnation
// gets at most one beyond its need, so that the first one to ask leaves
// something to the others.
const parts = 6

// maxEnded bounds the closed incarnations that are remembered, so that a request
// of theirs that arrives late opens nothing.
const maxEnded = 1024

// IsolationTimeout is the time without an answer after which an incarnation spends
// beyond its locks, up to its limits. It is longer than the restart of a
// process that was killed together with all others.
const IsolationTimeout = 2200 * time.Millisecond

// holding is what one incarnation was granted.
type holding struct {
	sequence uint64
	tenure   *wire.Tenure
	limits   map[string]int64
	locks    map[string]int64
	used     map[string]int64 // as last reported
}

// Config configures an Allocator.
type Config struct {
	// Budget returns the budget of an account, and whether it has one.
	Budget func(account string) (tokens int64, ok bool)
	// OnReplaced is called when an incarnation is followed by another one of
	// its machine, pause after it was last answered; confined tells that it has
	// spent no more than its locks, and lost what counts as spent beyond its
	// last report, by account. Nil for none.
	OnReplaced func(instance string, pause time.Duration, confined bool, lost map[string]int64)
}

// Allocator is the state of all budgets. It isn't safe for concurrent use.
type Allocator struct {
	cfg   Config
	held  map[string]*holding
	spent map[string]int64 // of closed incarnations, by account
	lost  map[string]int64 // part of spent that may not have been spent
	given map[string]int64 // sum over spent and held, by account
	ended []string         // closed incarnations, oldest first
}

// New returns an allocator that has granted nothing.
func New(cfg Config) *Allocator {
	if cfg.OnReplaced == nil {
		cfg.OnReplaced = func(string, time.Duration, bool, map[string]int64) {}
	}
	return &Allocator{cfg: cfg, held: map[string]*holding{}, spent: map[string]int64{}, lost: map[string]int64{}, given: map[string]int64{}}
}

// Apply applies a request of an incarnation and returns its limits. Equal
// sequences of calls give equal states.
func (a *Allocator) Apply(q *wire.Allotment) *wire.AllotmentResult {
	h := a.held[q.Instance]
	if h == nil {
		if slices.Contains(a.ended, q.Instance) {
			return &wire.AllotmentResult{Stale: true}
		}
		a.succeed(q.Tenure)
		h = newHolding()
		a.held[q.Instance] = h
	}
	if q.Sequence <= h.sequence {
		return &wire.AllotmentResult{Stale: true}
	}
	h.sequence, h.tenure = q.Sequence, q.Tenure
	result := &wire.AllotmentResult{}
	for _, w := range q.Allowances {
		result.Limits = append(result.Limits, a.grant(h, w))
	}
	if q.Closing {
		a.close(q.Instance, h)
	}
	return result
}

// grant lowers the limit to what the incarnation declared and raises it by
// what can be given.
func (a *Allocator) grant(h *holding, w *wire.Allowance) *wire.Limit {
	limit := min(h.limits[w.Account], max(w.Limit, 0))
	a.given[w.Account] += limit - h.limits[w.Account]
	total, _ := a.cfg.Budget(w.Account)
	free := max(total-a.given[w.Account], 0)
	more := max(w.Want-limit, 0)
	more = min(more, max(free/parts, w.Need-limit), free)
	limit += more
	a.given[w.Account] += more
	h.limits[w.Account] = limit
	h.locks[w.Account] = min(limit, max(w.Lock, 0))
	h.used[w.Account] = min(limit, max(w.Used, 0))
	return &wire.Limit{Account: w.Account, Limit: limit, Lock: h.locks[w.Account], Total: total, Free: free - more}
}

// succeed closes the incarnations that a new one of the same machine follows.
// One that was answered less than Patience before the new process started has
// spent no more than its locks.
func (a *Allocator) succeed(t *wire.Tenure) {
	if t.GetMachine() == "" {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(a.held)) {
		h := a.held[name]
		if h.tenure.GetMachine() != t.Machine {
			continue
		}
		pause := time.Duration(t.Started - h.tenure.Answered)
		confined := t.Boot != "" && t.Boot == h.tenure.Boot && h.tenure.Answered > 0 && pause >= 0 && pause < IsolationTimeout
		if confined {
			a.confine(h)
		}
		lost := map[string]int64{}
		for account, limit := range h.limits {
			if rest := limit - h.used[account]; rest > 0 {
				lost[account] = rest
				a.lost[account] += rest
			}
		}
		a.cfg.OnReplaced(name, pause, confined, lost)
		a.close(name, h)
	}
}

// confine lowers the limits to the locks.
func (a *Allocator) confine(h *holding) {
	for account, limit := range h.limits {
		a.given[account] -= limit - h.locks[account]
		h.limits[account] = h.locks[account]
	}
}

func newHolding() *holding {
	return &holding{limits: map[string]int64{}, locks: map[string]int64{}, used: map[string]int64{}}
}

// close counts what the incarnation still holds as spent.
func (a *Allocator) close(instance string, h *holding) {
	for account, limit := range h.limits {
		a.spent[account] += limit
	}
	delete(a.held, instance)
	if a.ended = append(a.ended, instance); len(a.ended) > maxEnded {
		a.ended = a.ended[1:]
	}
}

// Free returns what is left to grant of an account.
func (a *Allocator) Free(account string) int64 {
	total, _ := a.cfg.Budget(account)
	return max(total-a.given[account], 0)
}

// VisitStranded calls found with each account of which incarnations for which alive
// is false hold a part beyond their last report. They may come back and return
// it.
func (a *Allocator) VisitStranded(alive func(instance string) bool, found func(account string)) {
	for name, h := range a.held {
		if alive(name) {
			continue
		}
		for account, limit := range h.limits {
			if limit > h.used[account] {
				found(account)
			}
		}
	}
}

// Lost returns what counts as spent of an account although it may not have
// been: what incarnations that are followed by others held beyond their last
// report.
func (a *Allocator) Lost(account string) int64 { return a.lost[account] }

// Save writes the state into a snapshot.
func (a *Allocator) Save(s *wire.CoreState) {
	for _, name := range slices.Sorted(maps.Keys(a.held)) {
		h := a.held[name]
		q := &wire.Allotment{Instance: name, Sequence: h.sequence, Tenure: h.tenure}
		for _, account := range slices.Sorted(maps.Keys(h.limits)) {
			q.Allowances = append(q.Allowances, &wire.Allowance{Account: account, Limit: h.limits[account], Lock: h.locks[account], Used: h.used[account]})
		}
		s.Allotments = append(s.Allotments, q)
	}
	s.Spent, s.Lost, s.Ended = maps.Clone(a.spent), maps.Clone(a.lost), slices.Clone(a.ended)
}

// Load replaces the state by that of a snapshot.
func (a *Allocator) Load(s *wire.CoreState) {
	a.held, a.spent, a.lost, a.given = map[string]*holding{}, map[string]int64{}, map[string]int64{}, map[string]int64{}
	maps.Copy(a.lost, s.Lost)
	a.ended = slices.Clone(s.Ended)
	maps.Copy(a.spent, s.Spent)
	maps.Copy(a.given, s.Spent)
	for _, q := range s.Allotments {
		h := newHolding()
		h.sequence, h.tenure = q.Sequence, q.Tenure
		for _, w := range q.Allowances {
			h.limits[w.Account], h.locks[w.Account], h.used[w.Account] = w.Limit, w.Lock, w.Used
			a.given[w.Account] += w.Limit
		}
		a.held[q.Instance] = h
	}
}
