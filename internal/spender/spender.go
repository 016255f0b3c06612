package spender

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/allocator"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// defaultHorizon is how long a limit lasts while much of the budget is
	// free. It covers a partition of some seconds.
	defaultHorizon = 10 * time.Second
	// fullHorizonShare is the free share of a budget above which a limit covers
	// the full horizon. Below it limits shrink: after a loss of power all that is
	// held counts as spent, and prepaid tokens that are never served are worse
	// than a refusal in a partition.
	fullHorizonShare = 0.45
	// maxFleetShare is the maximum that all instances together hold for
	// expected demand, as a share of the free tokens; largestReservationShare
	// is the same for the largest recent request. If all machines lose power,
	// both count as spent.
	maxFleetShare           = 0.5
	largestReservationShare = 0.25
	// minFreeShare is the free share of a budget below which limits cover only
	// running and waiting requests.
	minFreeShare = 0.02
	// averagingTime is the time constant of the demand average.
	averagingTime = 4 * time.Second
	// initialShare is the share of a budget that is held before any demand is
	// known, divided by the number of entry instances.
	initialShare = 0.08
	// softLimitTime is how long a soft limit lasts: until the instance counts
	// as isolated, plus two more calls.
	softLimitTime = allocator.IsolationTimeout + 500*time.Millisecond
	// returnThreshold is the factor by which a limit exceeds the need before
	// some of it is returned. Every call is committed anyway.
	returnThreshold = 1.1
	// requestThreshold is the share of the wanted headroom below which more is
	// requested.
	requestThreshold = 0.95
	// entryRedeclareTime is the time after which an account is declared although
	// nothing has changed, for each entry instance, so that the leader hears of its
	// demand and the instance of what is left of the budget. minRedeclareTime and
	// maxRedeclareTime limit the product.
	entryRedeclareTime = 20 * time.Millisecond
	minRedeclareTime   = 2 * time.Second
	maxRedeclareTime   = 6 * time.Second
	// maxLoans limits the loans for one request. Concurrent requests may
	// consume borrowed tokens before the request reserves them.
	maxLoans = 3
)

// Config configures a Spender.
type Config struct {
	// Horizon is how long a limit lasts while much of the budget is free; 0
	// selects the default.
	Horizon time.Duration
	// RequestSync is called when a request waits for a higher limit.
	RequestSync func()
	// Isolated reports whether the core instances haven't answered for
	// allocator.IsolationTimeout. Soft limits don't apply then.
	Isolated func() bool
	// DemandShare returns the shares of zone and fleet demand for which this
	// instance holds tokens of an account, and whether they are known. The
	// shares are 0 if other instances hold the tokens. Nil means that the
	// instance holds tokens for its own callers.
	DemandShare func(account string) (zone, fleet float64, known bool)
	// Borrow obtains tokens from another instance, adds them with Credit, and
	// reports success. Nil disables borrowing.
	Borrow func(ctx context.Context, account string, tokens int64) bool
	// CoresUnreachable reports whether the core instances have missed calls, so
	// that requests don't wait for them.
	CoresUnreachable func() bool
	Now              func() time.Time
}

// Spender tracks the allowances of one incarnation. It is safe for concurrent
// use.
type Spender struct {
	cfg Config

	mu       sync.Mutex
	accounts map[string]*account
	changed  chan struct{} // closed when limits are updated
	replies  uint64        // number of replies applied
	entries  int
	closed   bool
}

// account is the allowance of one account.
type account struct {
	limit     int64
	softLimit int64 // spendable while the core instances answer
	// used counts against the limit: spent, reserved and lent tokens, less
	// borrowed ones. It is negative while more is borrowed than used.
	used          int64
	localUsed     int64     // spent and reserved by local callers
	firstUse      time.Time // first reservation
	largest       int64     // largest recent reservation or loan
	rate          float64   // of local callers, in tokens per second
	zoneRate      float64   // of all callers in the zone
	fleetRate     float64   // of all callers in the fleet
	lastLocalUsed int64     // localUsed at the last declaration
	updated       time.Time
	waiters       map[*waiter]struct{}
	budget        int64
	free          int64
	available     int64
	stranded      bool
	synced        bool // a reply has set budget and free
	// declared is the last declaration, answered the last one that was answered,
	// with the limit that was granted, at answeredAt.
	declared, answered *wire.Allowance
	answeredAt         time.Time
}

// waiter is a request that waits for a limit.
type waiter struct {
	tokens  int64
	replies uint64 // of the leader when the wait began
}

// New returns a spender without limits.
func New(cfg Config) *Spender {
	if cfg.Horizon == 0 {
		cfg.Horizon = defaultHorizon
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Isolated == nil {
		cfg.Isolated = func() bool { return false }
	}
	if cfg.CoresUnreachable == nil {
		cfg.CoresUnreachable = func() bool { return false }
	}
	if cfg.RequestSync == nil {
		cfg.RequestSync = func() {}
	}
	return &Spender{cfg: cfg, accounts: map[string]*account{}, changed: make(chan struct{}), entries: 1}
}

// Reservation holds the tokens of one request.
type Reservation struct {
	s       *Spender
	account *account
	tokens  int64
}

// AddAccounts registers accounts, so that an initial share of their budgets is
// requested before the first request.
func (s *Spender) AddAccounts(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.account(name)
	}
}

// account returns the state of an account. The caller holds mu.
func (s *Spender) account(name string) *account {
	a := s.accounts[name]
	if a == nil {
		a = &account{waiters: map[*waiter]struct{}{}, updated: s.cfg.Now()}
		s.accounts[name] = a
	}
	return a
}

// Reserve reserves tokens of an account. If the limit is too low, it borrows
// the shortfall or waits for a higher limit until ctx ends. The error wraps
// fault.Exhausted if the budget doesn't cover the tokens, and fault.Overloaded
// if the budget may cover them but the limit doesn't.
func (s *Spender) Reserve(ctx context.Context, name string, tokens int64) (*Reservation, error) {
	a := s.recordDemand(name, tokens)
	if r, _ := s.tryReserve(a, tokens); r != nil {
		return r, nil
	}
	if r := s.borrow(ctx, name, a, tokens); r != nil {
		return r, nil
	}
	if s.cfg.CoresUnreachable() {
		return nil, s.limitError(name, a, tokens)
	}
	w := &waiter{tokens: tokens}
	s.beginWait(a, w)
	defer s.endWait(a, w) // also after a panic
	s.cfg.RequestSync()
	for {
		r, changed, err := s.checkWait(ctx, name, a, w)
		if r != nil || err != nil {
			return r, err
		}
		select {
		case <-changed:
			s.cfg.RequestSync()
		case <-ctx.Done():
			if ctx.Err() != nil && !s.fitsAfterTimeout(a, w, tokens) {
				return nil, s.limitError(name, a, tokens)
			}
		}
	}
}

// recordDemand notes the size of a request and returns its account.
func (s *Spender) recordDemand(name string, tokens int64) *account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(name)
	a.largest = max(a.largest, tokens)
	return a
}

// tryReserve reserves tokens if the limit covers them. Else it returns how many it lacks.
func (s *Spender) tryReserve(a *account, tokens int64) (r *Reservation, shortfall int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shortfall = a.used + tokens - s.effectiveLimit(a); shortfall > 0 {
		return nil, shortfall
	}
	return s.reserve(a, tokens), 0
}

// beginWait counts a request as waiting for a higher limit.
func (s *Spender) beginWait(a *account, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.waiters[w] = struct{}{}
	w.replies = s.replies
}

// endWait ends the wait of a request. Further calls have no effect.
func (s *Spender) endWait(a *account, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(a.waiters, w)
}

// checkWait makes the reservation of a waiting request if the limit covers it now. Else it
// returns an error if the budget is exhausted, or what is closed at the next change.
func (s *Spender) checkWait(ctx context.Context, name string, a *account, w *waiter) (*Reservation, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fits := a.used+w.tokens <= s.effectiveLimit(a)
	// A reply that was already in flight may not reflect this request.
	exhausted := s.replies >= w.replies+2 && a.synced && a.available+a.limit < a.used+w.tokens && !a.stranded
	if fits || exhausted || ctx.Err() != nil {
		delete(a.waiters, w)
	}
	switch {
	case fits:
		return s.reserve(a, w.tokens), nil, nil
	case exhausted:
		return nil, nil, eris.Wrapf(fault.Exhausted, "account %s: %d tokens are needed, %d are left", name, w.tokens, a.available+a.limit-a.used)
	}
	return nil, s.changed, nil
}

// limitError returns the error for a reservation that exceeds the limit.
func (s *Spender) limitError(name string, a *account, tokens int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return eris.Wrapf(fault.Overloaded, "account %s: %d tokens are needed, the limit leaves %d", name, tokens, a.limit-a.used)
}

// effectiveLimit returns the limit that applies now. The caller holds mu.
func (s *Spender) effectiveLimit(a *account) int64 {
	if s.cfg.Isolated() {
		return a.limit
	}
	return min(a.softLimit, a.limit)
}

// fitsAfterTimeout reports whether a request that has timed out fits the limit
// after all. Otherwise it removes the waiter.
func (s *Spender) fitsAfterTimeout(a *account, w *waiter, tokens int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.used+tokens <= s.effectiveLimit(a) {
		return true
	}
	delete(a.waiters, w)
	return false
}

// reserve creates a reservation. The caller holds mu.
func (s *Spender) reserve(a *account, tokens int64) *Reservation {
	a.used += tokens
	a.localUsed += tokens
	if a.firstUse.IsZero() {
		a.firstUse = s.cfg.Now()
	}
	return &Reservation{s: s, account: a, tokens: tokens}
}

// Settle ends the reservation and charges the actual cost, at most the reserved
// amount. Further calls have no effect.
func (r *Reservation) Settle(tokens int64) {
	if r == nil || r.s == nil {
		return
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	tokens = min(max(tokens, 0), r.tokens)
	r.account.used -= r.tokens - tokens
	r.account.localUsed -= r.tokens - tokens
	r.s = nil
}

// UpdateLimits applies the limits of the reply to the last declaration.
func (s *Spender) UpdateLimits(limits []*wire.Limit, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
	now := s.cfg.Now()
	for _, l := range limits {
		a := s.account(l.Account)
		if a.declared != nil {
			a.answered = &wire.Allowance{Limit: l.Limit, Used: a.declared.Used}
		}
		// Rates that were learnt before sink at each answer by the time since the
		// last one, but not by a long silence of the leader.
		rest := math.Exp(-min(now.Sub(a.answeredAt), minRedeclareTime).Seconds() / averagingTime.Seconds())
		a.zoneRate, a.fleetRate = a.zoneRate*rest, a.fleetRate*rest
		a.answeredAt = now
		a.limit, a.softLimit, a.budget, a.free, a.available, a.stranded, a.synced = l.Limit, l.Lock, l.Total, l.Free, l.Spare, l.Stranded, true
		// After a partition the leader learns the demand only gradually.
		a.zoneRate, a.fleetRate = max(a.zoneRate, float64(l.Demand)), max(a.fleetRate, float64(l.Whole))
	}
	s.replies++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Close releases all unused tokens and returns the final declaration. Nothing
// may be reserved after it.
func (s *Spender) Close() []*wire.Allowance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*wire.Allowance
	s.closed = true
	for name, a := range s.accounts {
		used := max(a.used, 0)
		a.limit, a.softLimit = used, used
		list = append(list, &wire.Allowance{Account: name, Limit: used, Lock: used, Used: used})
	}
	return list
}
