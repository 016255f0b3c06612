package spender

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/allocator"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// defaultHorizon is the time for which a limit lasts while much is free.
	// It covers a partition of some seconds.
	defaultHorizon = 10 * time.Second
	// ample is the free part of a budget from which the whole horizon is held.
	ample = 0.25
	// parkedShare is the most that all instances together hold for the demand,
	// as a part of what is free, and largestShare the most for the largest
	// request lately. A loss of power of all machines counts both as spent.
	parkedShare  = 0.5
	largestShare = 0.25
	// scarce is the free part below which nothing is held beyond running and
	// waiting requests.
	scarce = 0.02
	// memory is the time over which the demand is averaged.
	memory = 4 * time.Second
	// firstShare is the part of a budget that is held before any demand is
	// known, divided by the number of entry instances.
	firstShare = 0.08
	// nearTime is the time for which a lock lasts: until the core instances
	// count as silent, and two calls more.
	nearTime = allocator.IsolationTimeout + 500*time.Millisecond
	// keep is the factor by which a limit exceeds the need before a part is
	// given back. Each call is committed anyway.
	keep = 1.1
	// low is the part of the wanted allowance below which more is asked for.
	low = 0.95
	// maxLoans bounds the loans for one request. Others may take what has been
	// lent before the request does.
	maxLoans = 3
)

// Config configures a Spender.
type Config struct {
	// Horizon is the time for which a limit lasts while much is free; 0 for
	// the default.
	Horizon time.Duration
	// RequestSync is called when a request waits for a limit.
	RequestSync func()
	// Isolated reports whether the core instances have been silent for
	// allocator.Patience; then the locks don't count.
	Isolated func() bool
	// DemandShare returns the parts of the demand of the zone and of the whole fleet
	// for which this instance holds tokens of an account, 0 if others do, and
	// whether that is known. Nil if it holds tokens for its own callers.
	DemandShare func(account string) (zone, fleet float64, known bool)
	// Borrow adds tokens of another instance to an account by Receive, and
	// reports whether it did. Nil if there is none.
	Borrow func(ctx context.Context, account string, tokens int64) bool
	// CoresUnreachable reports whether the core instances have missed calls, so that a
	// request doesn't wait for them.
	CoresUnreachable func() bool
	Now              func() time.Time
}

// Spender is safe for concurrent use.
type Spender struct {
	cfg Config

	mu       sync.Mutex
	accounts map[string]*account
	changed  chan struct{} // closed when limits have been learnt
	round    uint64        // number of replies learnt
	entries  int
	closed   bool
}

// account is the allowance of one account.
type account struct {
	limit int64
	lock  int64 // part of the limit that is spent while in contact
	// used is what counts against the limit: spent, reserved at its most, or
	// lent, less what was borrowed. It is negative while more is borrowed than
	// used.
	used    int64
	taken   int64     // spent by own callers, and reserved at its most
	begun   time.Time // first reservation
	largest int64     // largest reservation or loan lately
	rate    float64   // of own callers, in tokens per second
	zone    float64   // of all callers in the zone
	whole   float64   // of all callers in the fleet
	last    int64     // taken at the last declaration
	at      time.Time
	waiting map[*wait]struct{}
	total   int64
	free    int64
	spare   int64
	strand  bool
	known   bool // a reply has told total and free
}

// wait is a request that waits for a limit.
type wait struct{ tokens int64 }

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

// Reservation is what one request may cost.
type Reservation struct {
	s       *Spender
	account *account
	tokens  int64
}

// AddAccounts prepares the accounts, so that a part of their budgets is asked for
// before the first request.
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
		a = &account{waiting: map[*wait]struct{}{}, at: s.cfg.Now()}
		s.accounts[name] = a
	}
	return a
}

// Reserve reserves tokens of an account. It borrows what its limit lacks, or
// waits for a higher limit until ctx ends. The error wraps fault.Exhausted if the budget doesn't cover the
// tokens, and fault.Overloaded if it may cover them but the limit doesn't.
func (s *Spender) Reserve(ctx context.Context, name string, tokens int64) (*Reservation, error) {
	s.mu.Lock()
	a := s.account(name)
	a.largest = max(a.largest, tokens)
	if a.used+tokens <= s.bound(a) {
		defer s.mu.Unlock()
		return s.take(a, tokens), nil
	}
	s.mu.Unlock()
	if r := s.borrow(ctx, name, a, tokens); r != nil {
		return r, nil
	}
	if s.cfg.CoresUnreachable() {
		return nil, s.short(name, a, tokens)
	}
	s.mu.Lock()
	w := &wait{tokens}
	a.waiting[w] = struct{}{}
	begun := s.round
	s.mu.Unlock()
	s.cfg.RequestSync()
	for {
		s.mu.Lock()
		changed := s.changed
		fits := a.used+tokens <= s.bound(a)
		// The reply to a request that was on its way may not know of the need.
		hopeless := s.round >= begun+2 && a.known && a.spare+a.limit < a.used+tokens && !a.strand
		if fits || hopeless || ctx.Err() != nil {
			delete(a.waiting, w)
		}
		if fits {
			defer s.mu.Unlock()
			return s.take(a, tokens), nil
		}
		spare, limit, used := a.spare, a.limit, a.used
		s.mu.Unlock()
		if hopeless {
			return nil, eris.Wrapf(fault.Exhausted, "account %s: %d tokens are needed, %d are left", name, tokens, spare+limit-used)
		}
		select {
		case <-changed:
			s.cfg.RequestSync()
		case <-ctx.Done():
			if ctx.Err() != nil && !s.granted(a, w, tokens) {
				return nil, s.short(name, a, tokens)
			}
		}
	}
}

// short returns the error of a reservation that the limit doesn't cover.
func (s *Spender) short(name string, a *account, tokens int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return eris.Wrapf(fault.Overloaded, "account %s: %d tokens are needed, the limit leaves %d", name, tokens, a.limit-a.used)
}

// bound returns what may be spent now. The caller holds mu.
func (s *Spender) bound(a *account) int64 {
	if s.cfg.Isolated() {
		return a.limit
	}
	return min(a.lock, a.limit)
}

// granted reports whether a wait that has timed out can be served after all,
// and ends it otherwise.
func (s *Spender) granted(a *account, w *wait, tokens int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.used+tokens <= s.bound(a) {
		return true
	}
	delete(a.waiting, w)
	return false
}

// take reserves tokens. The caller holds mu.
func (s *Spender) take(a *account, tokens int64) *Reservation {
	a.used += tokens
	a.taken += tokens
	if a.begun.IsZero() {
		a.begun = s.cfg.Now()
	}
	return &Reservation{s: s, account: a, tokens: tokens}
}

// Settle ends the reservation with what the request has cost, at most what was
// reserved. Further calls do nothing.
func (r *Reservation) Settle(tokens int64) {
	if r == nil || r.s == nil {
		return
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	tokens = min(max(tokens, 0), r.tokens)
	r.account.used -= r.tokens - tokens
	r.account.taken -= r.tokens - tokens
	r.s = nil
}

// UpdateLimits takes the limits of the reply to the last declaration.
func (s *Spender) UpdateLimits(limits []*wire.Limit, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
	for _, l := range limits {
		a := s.account(l.Account)
		a.limit, a.lock, a.total, a.free, a.spare, a.strand, a.known = l.Limit, l.Lock, l.Total, l.Free, l.Spare, l.Stranded, true
		// After a partition the leader hears of the demand by and by.
		a.zone, a.whole = max(a.zone, float64(l.Demand)), max(a.whole, float64(l.Whole))
	}
	s.round++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Close gives up all that isn't used and returns the last declaration. Nothing
// may be reserved after it.
func (s *Spender) Close() []*wire.Allowance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*wire.Allowance
	s.closed = true
	for name, a := range s.accounts {
		used := max(a.used, 0)
		a.limit, a.lock = used, used
		list = append(list, &wire.Allowance{Account: name, Limit: used, Lock: used, Used: used})
	}
	return list
}
