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
	// defaultHorizon is the time for which a limit lasts while much is free.
	// It covers a partition of some seconds.
	defaultHorizon = 9 * time.Second
	// ample is the free part of a budget from which the whole horizon is held.
	ample = 0.25
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
	nearTime = allocator.Patience + 500*time.Millisecond
	// keep is the factor by which a limit exceeds the need before a part is
	// given back. Each call is committed anyway.
	keep = 1.1
	// low is the part of the wanted allowance below which more is asked for.
	low = 0.95
)

// Config configures a Spender.
type Config struct {
	// Horizon is the time for which a limit lasts while much is free; 0 for
	// the default.
	Horizon time.Duration
	// Hurry is called when a request waits for a limit.
	Hurry func()
	// Alone reports whether the core instances have been silent for
	// allocator.Patience; then the locks don't count.
	Alone func() bool
	Now   func() time.Time
}

// Spender is safe for concurrent use.
type Spender struct {
	cfg Config

	mu       sync.Mutex
	accounts map[string]*account
	changed  chan struct{} // closed when limits have been learnt
	round    uint64        // number of replies learnt
	entries  int
}

// account is the allowance of one account.
type account struct {
	limit   int64
	lock    int64   // part of the limit that is spent while in contact
	used    int64   // spent, and reserved at its most
	settled int64   // spent by requests that have ended
	largest int64   // largest reservation lately
	rate    float64 // tokens per second
	last    int64   // used at the last declaration
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
	if cfg.Alone == nil {
		cfg.Alone = func() bool { return false }
	}
	if cfg.Hurry == nil {
		cfg.Hurry = func() {}
	}
	return &Spender{cfg: cfg, accounts: map[string]*account{}, changed: make(chan struct{}), entries: 1}
}

// Reservation is what one request may cost.
type Reservation struct {
	s       *Spender
	account *account
	tokens  int64
}

// Open prepares the accounts, so that a part of their budgets is asked for
// before the first request.
func (s *Spender) Open(names []string) {
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

// Reserve reserves tokens of an account. It waits for a higher limit until ctx
// ends. The error wraps fault.Exhausted if the budget doesn't cover the
// tokens, and fault.Overloaded if it may cover them but the limit doesn't.
func (s *Spender) Reserve(ctx context.Context, name string, tokens int64) (*Reservation, error) {
	s.mu.Lock()
	a := s.account(name)
	a.largest = max(a.largest, tokens)
	if a.used+tokens <= s.bound(a) {
		defer s.mu.Unlock()
		return s.take(a, tokens), nil
	}
	w := &wait{tokens}
	a.waiting[w] = struct{}{}
	begun := s.round
	s.mu.Unlock()
	s.cfg.Hurry()
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
			s.cfg.Hurry()
		case <-ctx.Done():
			if ctx.Err() != nil && !s.granted(a, w, tokens) {
				return nil, eris.Wrapf(fault.Overloaded, "account %s: %d tokens are needed, the limit leaves %d", name, tokens, limit-used)
			}
		}
	}
}

// bound returns what may be spent now. The caller holds mu.
func (s *Spender) bound(a *account) int64 {
	if s.cfg.Alone() {
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
	r.account.settled += tokens
	r.s = nil
}

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
		a.rate += weight * (max(float64(a.used-a.last), 0)/elapsed - a.rate)
		a.last, a.at = a.used, now
		a.largest -= int64(weight * float64(a.largest) / 8)
	}
	need := a.used
	for w := range a.waiting {
		need += w.tokens
	}
	if len(a.waiting) == 0 {
		need = 0
	}
	wanted := s.wanted(a)
	if target := a.used + int64(keep*float64(wanted)); a.limit > target {
		a.limit = max(target, a.used)
	}
	q := &wire.Allowance{Account: name, Limit: a.limit, Need: need, Used: a.used}
	if float64(a.limit-a.used) < low*float64(wanted) || need > a.limit {
		q.Want = max(a.used+wanted, need)
	}
	q.Lock = max(a.used+s.near(a, wanted), need)
	a.lock = min(a.lock, q.Lock)
	return q
}

// near returns what is held beyond the use for the time in which the core
// instances answer, or until they have been silent for long. The caller holds
// mu.
func (s *Spender) near(a *account, wanted int64) int64 {
	share := nearTime.Seconds() / s.cfg.Horizon.Seconds()
	return min(wanted, max(int64(share*float64(wanted)), int64(a.rate*nearTime.Seconds())+a.largest))
}

// wanted returns what is held beyond the use. The caller holds mu.
func (s *Spender) wanted(a *account) int64 {
	if !a.known || a.total <= 0 {
		return 0
	}
	part := float64(a.free) / float64(a.total)
	if part < scarce {
		return 0
	}
	// The square keeps what is idle or lost with an instance far below what is
	// free.
	horizon := s.cfg.Horizon.Seconds() * min(part*part/(ample*ample), 1)
	first := 0.0
	if part > ample {
		first = firstShare * float64(a.total) / float64(max(s.entries, 1))
	}
	largest := 0.0
	if part > ample/2 {
		largest = float64(a.largest)
	}
	return int64(max(a.rate*horizon+largest, first))
}

// Learn takes the limits of the reply to the last declaration.
func (s *Spender) Learn(limits []*wire.Limit, entries int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
	for _, l := range limits {
		a := s.account(l.Account)
		a.limit, a.lock, a.total, a.free, a.spare, a.strand, a.known = l.Limit, l.Lock, l.Total, l.Free, l.Spare, l.Stranded, true
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
	for name, a := range s.accounts {
		a.limit, a.lock = a.used, a.used
		list = append(list, &wire.Allowance{Account: name, Limit: a.used, Lock: a.used, Used: a.used})
	}
	return list
}
