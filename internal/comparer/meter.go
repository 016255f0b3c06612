package comparer

import (
	"slices"
	"sync"
	"time"
)

// Phases of a budget, by the billed part when a request arrives.
const (
	// Body is the time until 99% of the budget is billed.
	Body = iota
	// Tail is the time after that.
	Tail
	phases
)

const (
	tailDivisor = 100 // the last 1% of a budget
	perRequests = 10_000
)

// Count is the outcome of some of the requests.
type Count struct {
	Requests int
	Refused  int
	// False counts refusals while the bound of the request fitted into the
	// tokens that were neither billed nor reserved by an open request.
	False int
	// Loose counts refusals while any such token was left.
	Loose int
}

// Rate returns the false refusals per 10,000 requests.
func (c Count) Rate() float64 {
	if c.Requests == 0 {
		return 0
	}
	return perRequests * float64(c.False) / float64(c.Requests)
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count {
	return Count{c.Requests + o.Requests, c.Refused + o.Refused, c.False + o.False, c.Loose + o.Loose}
}

// Result is the outcome of one run.
type Result struct {
	// Phases are the counts by phase of the budget, Cut those of requests that
	// arrived during the cut, in all zones.
	Phases [phases]Count
	Cut    Count
	// CutZone are those of Cut that arrived in the cut zone.
	CutZone Count
	// Overspend is the sum over the accounts of the tokens billed above the
	// budget; Unbilled counts requests that ran and were not billed.
	Overspend int64
	Unbilled  int
	Billed    int64
	Prepaid   int64
	// Trips counts reservations that waited for a message.
	Trips int
	// Bytes is the size of the messages that move rights.
	Bytes int64
	// Waits are the times that reservations waited, sorted.
	Waits []time.Duration
	// Time is the time covered.
	Time time.Duration
}

// Total returns the counts of all phases.
func (r Result) Total() Count { return r.Phases[Body].Add(r.Phases[Tail]) }

// Wait returns a percentile of the waits over all reservations, 0 to 1.
func (r Result) Wait(percentile float64) time.Duration {
	i := len(r.Waits) - int((1-percentile)*float64(r.Total().Requests)) - 1
	if i < 0 || len(r.Waits) == 0 {
		return 0
	}
	return r.Waits[min(i, len(r.Waits)-1)]
}

// meter knows the true state of all budgets.
type meter struct {
	cfg Config

	mu     sync.Mutex
	billed []int64
	open   []int64 // bounds of the requests that run
	result Result
}

func newMeter(cfg Config) *meter {
	return &meter{cfg: cfg, billed: make([]int64, len(cfg.Accounts)), open: make([]int64, len(cfg.Accounts))}
}

// admit records a reservation, refuse a refusal for budget.
func (m *meter) admit(e event, wait time.Duration) { m.note(e, wait, true) }

func (m *meter) refuse(e event, wait time.Duration) { m.note(e, wait, false) }

func (m *meter) note(e event, wait time.Duration, admitted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := Count{Requests: 1}
	budget := m.cfg.Accounts[e.account].Budget
	if unspent := budget - m.billed[e.account] - m.open[e.account]; !admitted {
		count.Refused = 1
		if unspent >= e.bound {
			count.False = 1
		}
		if unspent > 0 {
			count.Loose = 1
		}
	}
	phase := Body
	if m.billed[e.account] >= budget-budget/tailDivisor {
		phase = Tail
	}
	r := &m.result
	r.Phases[phase] = r.Phases[phase].Add(count)
	if m.cfg.Cut.contains(e.at) {
		r.Cut = r.Cut.Add(count)
		if e.zone == m.cfg.Cut.Zone {
			r.CutZone = r.CutZone.Add(count)
		}
	}
	if wait > 0 {
		r.Trips++
		r.Waits = append(r.Waits, wait)
	}
	if admitted {
		m.open[e.account] += e.bound
	}
}

// settle ends a request that was admitted.
func (m *meter) settle(e event, billed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[e.account] -= e.bound
	if billed {
		m.billed[e.account] += e.used
	} else {
		m.result.Unbilled++
	}
}

// size adds the bytes of messages.
func (m *meter) size(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.Bytes += int64(bytes)
}

// reset forgets the bytes so far.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.Bytes = 0
}

func (m *meter) finish() Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.result
	for i, a := range m.cfg.Accounts {
		r.Prepaid += a.Budget
		r.Billed += m.billed[i]
		r.Overspend += max(0, m.billed[i]-a.Budget)
	}
	r.Waits = slices.Sorted(slices.Values(r.Waits))
	r.Time = m.cfg.Length
	return r
}
