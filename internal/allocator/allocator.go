package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// grantDivisor limits what one incarnation gets beyond its need to
// 1/grantDivisor of the free tokens, so that the first one to ask leaves some
// for the others.
const grantDivisor = 6

// maxClosed limits how many closed incarnations are remembered. A late request
// of one of them is ignored.
const maxClosed = 1024

// IsolationTimeout is the time without an answer after which an incarnation may
// exceed its soft limits, up to its limits. It is longer than the restart of a
// process that was killed together with all others.
const IsolationTimeout = 2200 * time.Millisecond

// grants holds what one incarnation was granted.
type grants struct {
	sequence   uint64
	tenure     *wire.Tenure
	limits     map[string]int64
	softLimits map[string]int64
	used       map[string]int64 // as last reported
}

// Config configures an Allocator.
type Config struct {
	// Budget returns the budget of an account and whether it has one.
	Budget func(account string) (tokens int64, ok bool)
	// OnReplaced is called when a new incarnation on the same machine replaces
	// another one, pause after the last answer to the old one. Confined reports
	// that the old one spent no more than its soft limits; lost is what counts
	// as spent beyond its last report, by account. May be nil.
	OnReplaced func(instance string, pause time.Duration, confined bool, lost map[string]int64)
}

// Allocator holds the state of all budgets. It isn't safe for concurrent use.
type Allocator struct {
	cfg           Config
	active        map[string]*grants
	spentByClosed map[string]int64 // by closed incarnations, by account
	lost          map[string]int64 // part of spentByClosed that may not have been spent
	allocated     map[string]int64 // spentByClosed and limits of active, by account
	idle          map[string]int64 // limits of active beyond what they have used, by account
	closed        []string         // closed incarnations, oldest first
}

// New returns an allocator that has granted nothing.
func New(cfg Config) *Allocator {
	if cfg.OnReplaced == nil {
		cfg.OnReplaced = func(string, time.Duration, bool, map[string]int64) {}
	}
	return &Allocator{cfg: cfg, active: map[string]*grants{}, spentByClosed: map[string]int64{}, lost: map[string]int64{}, allocated: map[string]int64{}, idle: map[string]int64{}}
}

// Apply applies a request of an incarnation and returns its limits. It is
// deterministic.
func (a *Allocator) Apply(q *wire.Allotment) *wire.AllotmentResult {
	g := a.active[q.Instance]
	if g == nil {
		if slices.Contains(a.closed, q.Instance) {
			return &wire.AllotmentResult{Stale: true}
		}
		a.replace(q.Tenure)
		g = newGrants()
		a.active[q.Instance] = g
	}
	if q.Sequence <= g.sequence {
		return &wire.AllotmentResult{Stale: true}
	}
	g.sequence, g.tenure = q.Sequence, q.Tenure
	result := &wire.AllotmentResult{}
	for _, w := range q.Allowances {
		result.Limits = append(result.Limits, a.grant(g, w))
	}
	if q.Closing {
		a.close(q.Instance, g)
	}
	return result
}

// grant lowers the limit to the declared one and raises it by what can be
// granted.
func (a *Allocator) grant(g *grants, w *wire.Allowance) *wire.Limit {
	idle := g.limits[w.Account] - g.used[w.Account]
	limit := min(g.limits[w.Account], max(w.Limit, 0))
	a.allocated[w.Account] += limit - g.limits[w.Account]
	total, _ := a.cfg.Budget(w.Account)
	free := max(total-a.allocated[w.Account], 0)
	more := max(w.Want-limit, 0)
	more = min(more, max(free/grantDivisor, w.Need-limit), free)
	limit += more
	a.allocated[w.Account] += more
	g.limits[w.Account] = limit
	g.softLimits[w.Account] = min(limit, max(w.Lock, 0))
	g.used[w.Account] = min(limit, max(w.Used, 0))
	a.idle[w.Account] += limit - g.used[w.Account] - idle
	return &wire.Limit{Account: w.Account, Limit: limit, Lock: g.softLimits[w.Account], Total: total, Free: free - more}
}

// replace closes the incarnations that a new one on the same machine replaces.
// If the last answer was less than IsolationTimeout before the new process
// started, the old one has spent no more than its soft limits.
func (a *Allocator) replace(t *wire.Tenure) {
	if t.GetMachine() == "" {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(a.active)) {
		g := a.active[name]
		if g.tenure.GetMachine() != t.Machine {
			continue
		}
		pause := time.Duration(t.Started - g.tenure.Answered)
		confined := t.Boot != "" && t.Boot == g.tenure.Boot && g.tenure.Answered > 0 && pause >= 0 && pause < IsolationTimeout
		if confined {
			a.capToSoftLimits(g)
		}
		lost := map[string]int64{}
		for account, limit := range g.limits {
			if rest := limit - g.used[account]; rest > 0 {
				lost[account] = rest
				a.lost[account] += rest
			}
		}
		a.cfg.OnReplaced(name, pause, confined, lost)
		a.close(name, g)
	}
}

// capToSoftLimits lowers the limits to the soft limits.
func (a *Allocator) capToSoftLimits(g *grants) {
	for account, limit := range g.limits {
		softLimit := max(g.softLimits[account], g.used[account])
		a.allocated[account] -= limit - softLimit
		a.idle[account] -= limit - softLimit
		g.limits[account] = softLimit
	}
}

func newGrants() *grants {
	return &grants{limits: map[string]int64{}, softLimits: map[string]int64{}, used: map[string]int64{}}
}

// close counts the limits of an incarnation as spent and removes it.
func (a *Allocator) close(instance string, g *grants) {
	for account, limit := range g.limits {
		a.spentByClosed[account] += limit
		a.idle[account] -= limit - g.used[account]
	}
	delete(a.active, instance)
	if a.closed = append(a.closed, instance); len(a.closed) > maxClosed {
		a.closed = a.closed[1:]
	}
}

// Free returns the tokens of an account that can still be granted.
func (a *Allocator) Free(account string) int64 {
	total, _ := a.cfg.Budget(account)
	return max(total-a.allocated[account], 0)
}

// Idle returns the tokens of an account that incarnations hold beyond what they have
// reported as used.
func (a *Allocator) Idle(account string) int64 { return a.idle[account] }

// VisitStranded calls found for each account of which an incarnation that isn't
// alive holds idle tokens. The incarnation may come back and return them.
func (a *Allocator) VisitStranded(alive func(instance string) bool, found func(account string, tokens int64)) {
	for name, g := range a.active {
		if alive(name) {
			continue
		}
		for account, limit := range g.limits {
			if limit > g.used[account] {
				found(account, limit-g.used[account])
			}
		}
	}
}

// Lost returns the tokens of an account that count as spent but may not have
// been: those that replaced incarnations held beyond their last report.
func (a *Allocator) Lost(account string) int64 { return a.lost[account] }

// Save writes the state to a snapshot.
func (a *Allocator) Save(s *wire.CoreState) {
	for _, name := range slices.Sorted(maps.Keys(a.active)) {
		g := a.active[name]
		q := &wire.Allotment{Instance: name, Sequence: g.sequence, Tenure: g.tenure}
		for _, account := range slices.Sorted(maps.Keys(g.limits)) {
			q.Allowances = append(q.Allowances, &wire.Allowance{Account: account, Limit: g.limits[account], Lock: g.softLimits[account], Used: g.used[account]})
		}
		s.Allotments = append(s.Allotments, q)
	}
	s.Spent, s.Lost, s.Ended = maps.Clone(a.spentByClosed), maps.Clone(a.lost), slices.Clone(a.closed)
}

// Load replaces the state with that of a snapshot.
func (a *Allocator) Load(s *wire.CoreState) {
	a.active, a.spentByClosed, a.lost = map[string]*grants{}, map[string]int64{}, map[string]int64{}
	a.allocated, a.idle = map[string]int64{}, map[string]int64{}
	maps.Copy(a.lost, s.Lost)
	a.closed = slices.Clone(s.Ended)
	maps.Copy(a.spentByClosed, s.Spent)
	maps.Copy(a.allocated, s.Spent)
	for _, q := range s.Allotments {
		g := newGrants()
		g.sequence, g.tenure = q.Sequence, q.Tenure
		for _, w := range q.Allowances {
			g.limits[w.Account], g.softLimits[w.Account], g.used[w.Account] = w.Limit, w.Lock, w.Used
			a.allocated[w.Account] += w.Limit
			a.idle[w.Account] += w.Limit - w.Used
		}
		a.active[q.Instance] = g
	}
}
