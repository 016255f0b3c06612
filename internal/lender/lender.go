package lender

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ranker"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// lendersPerZone is the number of instances of a zone that hold its part of
	// an account. The second one takes over while the first one restarts.
	lendersPerZone = 2
	// maxRemote bounds the lenders of other zones that are asked for one loan.
	maxRemote = 4
	// callTimeout bounds one call. Instances are a few ms away, but may be busy.
	callTimeout = 120 * time.Millisecond
	// avoidTime is the time for which an instance that didn't answer isn't
	// asked.
	avoidTime = time.Second
	// repayInterval is the time between two looks for tokens to repay.
	repayInterval = 500 * time.Millisecond
)

// Config configures a Lender.
type Config struct {
	// Self is the address of this instance, Zone its zone.
	Self, Zone string
	// Peer returns a client for the entry instance at an address.
	Peer func(address string) wire.DRPCLendingClient
	// Lend takes tokens out of the own allowance, all or none.
	Lend func(account string, tokens int64) bool
	// Credit adds tokens to the own allowance.
	Credit func(account string, tokens int64)
	// TakeSurplus takes out and returns what the instance has borrowed and needn't
	// keep, of the accounts for which keep is false.
	TakeSurplus func(keep func(account string) bool) map[string]int64
	// CoresUnreachable reports whether the core instances are silent. Only then lenders of
	// other zones are asked.
	CoresUnreachable func() bool
	// Observe is called for each loan that this instance asks for; nil for none.
	Observe func(granted bool)
	Now     func() time.Time
	Logger  *zap.Logger
}

// Lender asks other entry instances for loans and answers them. It is safe for
// concurrent use.
type Lender struct {
	cfg Config

	mu       sync.Mutex
	members  []*wire.Member
	accounts map[string]*choice
	avoid    map[string]time.Time
}

// choice is which instances lend the tokens of one account.
type choice struct {
	own    []string // in this zone, this instance left out, first choice first
	remote []string // in other zones
	lends  bool     // this instance is one of them
	zone   int      // number in this zone
	fleet  int      // number in all zones
}

// New returns a lender that knows no other instance.
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
	return &Lender{cfg: cfg, accounts: map[string]*choice{}, avoid: map[string]time.Time{}}
}

// Update replaces the list of entry instances.
func (l *Lender) Update(members []*wire.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = members
	l.accounts = map[string]*choice{}
}

// DemandShare returns the parts of the demand of the zone and of the whole fleet for
// which this instance holds tokens of an account: 0 if it isn't a lender. Known
// is false as long as no list of instances has come.
func (l *Lender) DemandShare(account string) (zone, fleet float64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.members) == 0 {
		return 0, 0, false
	}
	c := l.choose(account)
	if !c.lends {
		return 0, 0, true
	}
	return 1 / float64(c.zone), 1 / float64(c.fleet), true
}

// choose returns the lenders of an account. The caller holds mu.
func (l *Lender) choose(account string) *choice {
	if c := l.accounts[account]; c != nil {
		return c
	}
	zones := map[string][]string{}
	for _, m := range l.members {
		zones[m.Zone] = append(zones[m.Zone], m.Address)
	}
	c := &choice{}
	for zone, list := range zones {
		list = ranker.New(account).Order(list)
		list = list[:min(len(list), lendersPerZone)]
		c.fleet += len(list)
		if zone != l.cfg.Zone {
			c.remote = append(c.remote, list...)
			continue
		}
		c.zone = len(list)
		c.lends = slices.Contains(list, l.cfg.Self)
		for _, address := range list {
			if address != l.cfg.Self {
				c.own = append(c.own, address)
			}
		}
	}
	c.remote = ranker.New(l.cfg.Self + account).Order(c.remote)
	l.accounts[account] = c
	return c
}

// sources returns the instances that are asked for a loan, in order.
func (l *Lender) sources(account string) []string {
	alone := l.cfg.CoresUnreachable()
	now := l.cfg.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.choose(account)
	var list []string
	add := func(addresses []string, limit int) {
		for _, address := range addresses {
			if limit > 0 && now.After(l.avoid[address]) {
				list = append(list, address)
				limit--
			}
		}
	}
	add(c.own, lendersPerZone)
	if alone {
		add(c.remote, maxRemote)
	}
	return list
}

// Borrow gets tokens from another instance and adds them to the own allowance.
// It returns false if none of the lenders has that many.
func (l *Lender) Borrow(ctx context.Context, account string, tokens int64) bool {
	granted := l.borrow(ctx, account, tokens)
	l.cfg.Observe(granted)
	return granted
}

func (l *Lender) borrow(ctx context.Context, account string, tokens int64) bool {
	for _, address := range l.sources(account) {
		if ctx.Err() != nil {
			return false
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := l.cfg.Peer(address).Lend(call, &wire.LendRequest{Account: account, Tokens: tokens})
		cancel()
		if err != nil {
			l.fail(address, "Lender doesn't answer.", err)
			continue
		}
		if reply.Granted {
			l.cfg.Credit(account, tokens)
			return true
		}
	}
	return false
}

// fail notes that an instance doesn't answer.
func (l *Lender) fail(address, what string, err error) {
	l.mu.Lock()
	l.avoid[address] = l.cfg.Now().Add(avoidTime)
	l.mu.Unlock()
	l.cfg.Logger.Info(what, zap.String("address", address), zap.Error(err))
}

// Run repays what isn't needed until ctx ends.
func (l *Lender) Run(ctx context.Context) {
	tick := time.NewTicker(repayInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.Return(ctx, l.cfg.TakeSurplus(l.keeps))
		}
	}
}

// keeps reports whether this instance keeps what it has borrowed of an account,
// because it lends it or knows no lender.
func (l *Lender) keeps(account string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.members) == 0 {
		return true
	}
	c := l.choose(account)
	return c.lends || len(c.own) == 0
}

// Return gives tokens that were taken out of the own allowance to lenders of
// the zone. They stay taken out if the call fails, since the lender may have got
// them.
func (l *Lender) Return(ctx context.Context, amounts map[string]int64) {
	messages := map[string]*wire.RepayRequest{}
	for _, account := range slices.Sorted(maps.Keys(amounts)) {
		list := l.sources(account)
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
			l.fail(address, "Tokens can't be repaid.", err)
		}
		cancel()
	}
}

// Lend serves wire.DRPCLendingServer.
func (l *Lender) Lend(_ context.Context, q *wire.LendRequest) (*wire.LendReply, error) {
	return &wire.LendReply{Granted: q.Tokens > 0 && l.cfg.Lend(q.Account, q.Tokens)}, nil
}

// Repay serves wire.DRPCLendingServer.
func (l *Lender) Repay(_ context.Context, q *wire.RepayRequest) (*wire.RepayReply, error) {
	for _, a := range q.Amounts {
		if a.Tokens > 0 {
			l.cfg.Credit(a.Account, a.Tokens)
		}
	}
	return &wire.RepayReply{}, nil
}
