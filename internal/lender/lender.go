package lender

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ranker"
	"github.com/papayapond/papayapond/internal/recoverer"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// lendersPerZone is the number of instances that hold the share of their
	// zone of an account. The second one takes over while the first one
	// restarts.
	lendersPerZone = 2
	// maxRemoteLenders limits the lenders of other zones that are asked for one
	// loan.
	maxRemoteLenders = 4
	// callTimeout limits one call. Instances are a few ms away, but may be
	// busy.
	callTimeout = 120 * time.Millisecond
	// avoidDuration is how long an instance that didn't answer isn't asked
	// again.
	avoidDuration = time.Second
	// repayInterval is the time between two checks for tokens to repay.
	repayInterval = 500 * time.Millisecond
)

// Config configures a Lender.
type Config struct {
	// Self is the address of this instance, Zone its zone.
	Self, Zone string
	// Peer returns a client for the entry instance at an address.
	Peer func(address string) wire.DRPCLendingClient
	// Lend deducts tokens from this instance's allowance, all or none.
	Lend func(account string, tokens int64) bool
	// Credit adds tokens to this instance's allowance.
	Credit func(account string, tokens int64)
	// TakeSurplus deducts and returns borrowed tokens that aren't needed, for
	// accounts for which keep is false.
	TakeSurplus func(keep func(account string) bool) map[string]int64
	// CoresUnreachable reports whether the core instances are unreachable. Only
	// then are lenders of other zones asked.
	CoresUnreachable func() bool
	// Observe is called with the outcome of each loan that this instance
	// requests; may be nil.
	Observe func(granted bool)
	// Recoverer, if not nil, runs the repayments. What was deducted before a panic
	// stays deducted.
	Recoverer *recoverer.Recoverer
	Now       func() time.Time
	Logger    *zap.Logger
}

// Lender requests loans from other entry instances and serves their requests.
// It is safe for concurrent use.
type Lender struct {
	cfg Config

	mu      sync.Mutex
	members []*wire.Member
	chosen  map[string]*lenders
	avoid   map[string]time.Time
}

// lenders holds the lenders of one account.
type lenders struct {
	local      []string // in this zone except this instance, in order of preference
	remote     []string // in other zones
	isLender   bool     // this instance is a lender
	zoneCount  int      // lenders in this zone
	fleetCount int      // lenders in all zones
}

// New returns a lender without a member list.
func New(cfg Config) *Lender {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Observe == nil {
		cfg.Observe = func(bool) {}
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Recoverer == nil {
		cfg.Recoverer = recoverer.New(recoverer.Config{Logger: cfg.Logger})
	}
	return &Lender{cfg: cfg, chosen: map[string]*lenders{}, avoid: map[string]time.Time{}}
}

// Update replaces the list of entry instances.
func (l *Lender) Update(members []*wire.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = members
	l.chosen = map[string]*lenders{}
}

// DemandShare returns the shares of zone and fleet demand for which this
// instance holds tokens of an account, 0 if it isn't a lender. Known is false
// until the first member list arrives.
func (l *Lender) DemandShare(account string) (zone, fleet float64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.members) == 0 {
		return 0, 0, false
	}
	c := l.lendersOf(account)
	if !c.isLender {
		return 0, 0, true
	}
	return 1 / float64(c.zoneCount), 1 / float64(c.fleetCount), true
}

// lendersOf returns the lenders of an account. The caller holds mu.
func (l *Lender) lendersOf(account string) *lenders {
	if c := l.chosen[account]; c != nil {
		return c
	}
	zones := map[string][]string{}
	for _, m := range l.members {
		zones[m.Zone] = append(zones[m.Zone], m.Address)
	}
	c := &lenders{}
	for zone, list := range zones {
		list = ranker.New(account).Order(list)
		list = list[:min(len(list), lendersPerZone)]
		c.fleetCount += len(list)
		if zone != l.cfg.Zone {
			c.remote = append(c.remote, list...)
			continue
		}
		c.zoneCount = len(list)
		c.isLender = slices.Contains(list, l.cfg.Self)
		for _, address := range list {
			if address != l.cfg.Self {
				c.local = append(c.local, address)
			}
		}
	}
	c.remote = ranker.New(l.cfg.Self + account).Order(c.remote)
	l.chosen[account] = c
	return c
}

// candidates returns the instances to ask for a loan, in order.
func (l *Lender) candidates(account string) []string {
	unreachable := l.cfg.CoresUnreachable()
	now := l.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.lendersOf(account)
	var list []string
	add := func(addresses []string, limit int) {
		for _, address := range addresses {
			if limit > 0 && now.After(l.avoid[address]) {
				list = append(list, address)
				limit--
			}
		}
	}
	add(c.local, lendersPerZone)
	if unreachable {
		add(c.remote, maxRemoteLenders)
	}
	return list
}

// Borrow borrows tokens from another instance and adds them to this instance's
// allowance. It returns false if no lender grants the loan.
func (l *Lender) Borrow(ctx context.Context, account string, tokens int64) bool {
	granted := l.borrow(ctx, account, tokens)
	l.cfg.Observe(granted)
	return granted
}

func (l *Lender) borrow(ctx context.Context, account string, tokens int64) bool {
	for _, address := range l.candidates(account) {
		if ctx.Err() != nil {
			return false
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := l.cfg.Peer(address).Lend(call, &wire.LendRequest{Account: account, Tokens: tokens})
		cancel()
		if err != nil {
			l.markUnreachable(address, "lender did not answer", err)
			continue
		}
		if reply.Granted {
			l.cfg.Credit(account, tokens)
			return true
		}
	}
	return false
}

// markUnreachable excludes an instance from loans for avoidDuration and logs
// the error.
func (l *Lender) markUnreachable(address, message string, err error) {
	now := l.cfg.Now()
	l.mu.Lock()
	maps.DeleteFunc(l.avoid, func(_ string, until time.Time) bool { return now.After(until) })
	l.avoid[address] = now.Add(avoidDuration)
	l.mu.Unlock()
	l.cfg.Logger.Info(message, zap.String("address", address), zap.Error(err))
}

// Run repays surplus tokens until ctx ends.
func (l *Lender) Run(ctx context.Context) {
	tick := time.NewTicker(repayInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.cfg.Recoverer.Run("repay", func() { l.Return(ctx, l.cfg.TakeSurplus(l.keepsLoans)) })
		}
	}
}

// keepsLoans reports whether this instance keeps borrowed tokens of an account
// because it is a lender itself or knows no lender.
func (l *Lender) keepsLoans(account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.members) == 0 {
		return true
	}
	c := l.lendersOf(account)
	return c.isLender || len(c.local) == 0
}

// Return repays tokens that were deducted from this instance's allowance to
// lenders of the zone. They stay deducted if the call fails, since the lender
// may have received them.
func (l *Lender) Return(ctx context.Context, amounts map[string]int64) {
	messages := map[string]*wire.RepayRequest{}
	for _, account := range slices.Sorted(maps.Keys(amounts)) {
		list := l.candidates(account)
		if len(list) == 0 {
			l.cfg.Credit(account, amounts[account])
			continue
		}
		q := messages[list[0]]
		if q == nil {
			q = &wire.RepayRequest{}
			messages[list[0]] = q
		}
		q.Amounts = append(q.Amounts, &wire.Amount{Account: account, Tokens: amounts[account]})
	}
	for address, q := range messages {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		if _, err := l.cfg.Peer(address).Repay(call, q); err != nil {
			l.markUnreachable(address, "repaying tokens failed", err)
		}
		cancel()
	}
}

// Lend implements wire.DRPCLendingServer.
func (l *Lender) Lend(_ context.Context, q *wire.LendRequest) (*wire.LendReply, error) {
	return &wire.LendReply{Granted: q.Tokens > 0 && l.cfg.Lend(q.Account, q.Tokens)}, nil
}

// Repay implements wire.DRPCLendingServer.
func (l *Lender) Repay(_ context.Context, q *wire.RepayRequest) (*wire.RepayReply, error) {
	for _, a := range q.Amounts {
		if a.Tokens > 0 {
			l.cfg.Credit(a.Account, a.Tokens)
		}
	}
	return &wire.RepayReply{}, nil
}
