package allocator

import (
	"maps"
	"slices"

	"github.com/papayapond/papayapond/internal/wire"
)

// parts is the number of parts of the free tokens of which one incarnation
// gets at most one beyond its need, so that the first one to ask leaves
// something to the others.
const parts = 6

// holding is what one incarnation was granted.
type holding struct {
	sequence uint64
	limits   map[string]int64
}

// Config configures an Allocator.
type Config struct {
	// Total returns the budget of an account, and whether it has one.
	Total func(account string) (tokens int64, ok bool)
}

// Allocator is the state of all budgets. It isn't safe for concurrent use.
type Allocator struct {
	cfg   Config
	held  map[string]*holding
	spent map[string]int64 // of closed incarnations, by account
	given map[string]int64 // sum over spent and held, by account
}

// New returns an allocator that has granted nothing.
func New(cfg Config) *Allocator {
	return &Allocator{cfg: cfg, held: map[string]*holding{}, spent: map[string]int64{}, given: map[string]int64{}}
}

// Apply applies a request of an incarnation and returns its limits. Equal
// sequences of calls give equal states.
func (a *Allocator) Apply(q *wire.Allotment) *wire.AllotmentResult {
	h := a.held[q.Instance]
	if h == nil {
		h = &holding{limits: map[string]int64{}}
		a.held[q.Instance] = h
	}
	if q.Sequence <= h.sequence {
		return &wire.AllotmentResult{Stale: true}
	}
	h.sequence = q.Sequence
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
	total, _ := a.cfg.Total(w.Account)
	free := max(total-a.given[w.Account], 0)
	more := max(w.Want-limit, 0)
	more = min(more, max(free/parts, w.Need-limit), free)
	limit += more
	a.given[w.Account] += more
	h.limits[w.Account] = limit
	return &wire.Limit{Account: w.Account, Limit: limit, Total: total, Free: free - more}
}

// close counts what the incarnation still holds as spent.
func (a *Allocator) close(instance string, h *holding) {
	for account, limit := range h.limits {
		a.spent[account] += limit
	}
	delete(a.held, instance)
}

// Free returns what is left to grant of an account.
func (a *Allocator) Free(account string) int64 {
	total, _ := a.cfg.Total(account)
	return max(total-a.given[account], 0)
}

// Held returns the limit of an incarnation for an account.
func (a *Allocator) Held(instance, account string) int64 {
	if h := a.held[instance]; h != nil {
		return h.limits[account]
	}
	return 0
}

// Stranded returns what the incarnations for which alive is false hold of an
// account. It counts as spent.
func (a *Allocator) Stranded(account string, alive func(instance string) bool) int64 {
	sum := int64(0)
	for name, h := range a.held {
		if !alive(name) {
			sum += h.limits[account]
		}
	}
	return sum
}

// Save writes the state into a snapshot.
func (a *Allocator) Save(s *wire.CoreState) {
	for _, name := range slices.Sorted(maps.Keys(a.held)) {
		h := a.held[name]
		q := &wire.Allotment{Instance: name, Sequence: h.sequence}
		for _, account := range slices.Sorted(maps.Keys(h.limits)) {
			q.Allowances = append(q.Allowances, &wire.Allowance{Account: account, Limit: h.limits[account]})
		}
		s.Allotments = append(s.Allotments, q)
	}
	s.Spent = maps.Clone(a.spent)
}

// Load replaces the state by that of a snapshot.
func (a *Allocator) Load(s *wire.CoreState) {
	a.held, a.spent, a.given = map[string]*holding{}, map[string]int64{}, map[string]int64{}
	maps.Copy(a.spent, s.Spent)
	maps.Copy(a.given, s.Spent)
	for _, q := range s.Allotments {
		h := &holding{sequence: q.Sequence, limits: map[string]int64{}}
		for _, w := range q.Allowances {
			h.limits[w.Account] = w.Limit
			a.given[w.Account] += w.Limit
		}
		a.held[q.Instance] = h
	}
}
