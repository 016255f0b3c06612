package lender_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
	"storj.io/drpc"

	"github.com/papayapond/papayapond/internal/allocator"
	"github.com/papayapond/papayapond/internal/lender"
	"github.com/papayapond/papayapond/internal/spender"
	"github.com/papayapond/papayapond/internal/wire"
)

// instance is an entry instance without request handling.
type instance struct {
	name     string
	sequence uint64
	spender  *spender.Spender
	lender   *lender.Lender
	demand   int64 // as last declared, in tokens per second
}

// fleet simulates a leader and entry instances without a network.
type fleet struct {
	now       time.Time
	coresDown bool // no call to the leader succeeds
	budgets   *allocator.Allocator
	instances map[string]*instance // by address
	members   []*wire.Member
	zones     map[string]string
	// onWait is called when a request starts to wait for the leader.
	onWait func()
	// drop reports whether to drop the next call or its reply.
	drop func() (call, reply bool)
}

const account = "shop"

// newFleet returns a fleet with instances in three zones. Without lending, each
// instance holds tokens only for its own callers.
func newFleet(instances int, total int64, lends bool) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), instances: map[string]*instance{}, zones: map[string]string{},
		budgets: allocator.New(allocator.Config{Budget: func(string) (int64, bool) { return total, true }}),
		drop:    func() (bool, bool) { return false, false },
		onWait:  func() {},
	}
	for i := range instances {
		address, zone := fmt.Sprint("e", i), fmt.Sprint("z", i%3)
		f.zones[address] = zone
		f.members = append(f.members, &wire.Member{Address: address, Zone: zone})
		f.start(address, lends)
	}
	for _, e := range f.instances {
		e.lender.Update(f.members)
	}
	return f
}

// start starts a new incarnation at an address.
func (f *fleet) start(address string, lends bool) {
	e := &instance{name: fmt.Sprint(address, "#", f.now.UnixNano())}
	cfg := spender.Config{
		Isolated: func() bool { return f.coresDown }, CoresUnreachable: func() bool { return f.coresDown }, Now: func() time.Time { return f.now },
		RequestSync: func() { f.onWait() },
	}
	if lends {
		cfg.DemandShare = func(account string) (float64, float64, bool) { return e.lender.DemandShare(account) }
		cfg.Borrow = func(ctx context.Context, account string, tokens int64) bool {
			return e.lender.Borrow(ctx, account, tokens)
		}
	}
	e.spender = spender.New(cfg)
	e.lender = lender.New(lender.Config{
		Self: address, Zone: f.zones[address], Lend: e.spender.Lend, Credit: e.spender.Credit, TakeSurplus: e.spender.TakeSurplus,
		Peer:             func(address string) wire.DRPCLendingClient { return client{f, address} },
		CoresUnreachable: func() bool { return f.coresDown }, Now: func() time.Time { return f.now },
	})
	e.lender.Update(f.members)
	e.spender.AddAccounts([]string{account})
	f.instances[address] = e
}

// reserve reserves tokens at an instance without waiting for the leader.
func (f *fleet) reserve(address string, tokens int64) (*spender.Reservation, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.onWait = cancel
	return f.instances[address].spender.Reserve(ctx, account, tokens)
}

// syncAll advances the clock and lets all instances sync with the leader.
func (f *fleet) syncAll(pause time.Duration) {
	f.now = f.now.Add(pause)
	if f.coresDown {
		return
	}
	demand, fleetDemand := map[string]int64{}, int64(0)
	limits := map[string][]*wire.Limit{}
	for address, e := range f.instances {
		e.sequence++
		list := e.spender.Declare()
		limits[address] = f.budgets.Apply(&wire.Allotment{Instance: e.name, Sequence: e.sequence, Allowances: list}).Limits
		for _, w := range list {
			e.demand = w.Rate
		}
		demand[f.zones[address]] += e.demand
		fleetDemand += e.demand
	}
	for address, e := range f.instances {
		for _, l := range limits[address] {
			l.Free, l.Demand, l.Whole = f.budgets.Free(account), demand[f.zones[address]], fleetDemand
			l.Spare = l.Free
		}
		e.spender.UpdateLimits(limits[address], len(f.instances))
	}
}

// client calls an instance directly.
type client struct {
	f       *fleet
	address string
}

func (client) DRPCConn() drpc.Conn { return nil }

var errDropped = errors.New("message dropped")

func call[R any](c client, serve func(*lender.Lender) (R, error)) (R, error) {
	var none R
	dropCall, dropReply := c.f.drop()
	e := c.f.instances[c.address]
	if dropCall || e == nil {
		return none, errDropped
	}
	reply, err := serve(e.lender)
	if dropReply {
		return none, errDropped
	}
	return reply, err
}

func (c client) Lend(ctx context.Context, q *wire.LendRequest) (*wire.LendReply, error) {
	return call(c, func(l *lender.Lender) (*wire.LendReply, error) { return l.Lend(ctx, q) })
}

func (c client) Repay(ctx context.Context, q *wire.RepayRequest) (*wire.RepayReply, error) {
	return call(c, func(l *lender.Lender) (*wire.RepayReply, error) { return l.Repay(ctx, q) })
}

// A small account with requests spread over many instances must be served while
// the core instances are unreachable. Without loans, either each instance holds
// too little for one request or all instances together tie up most of the
// budget.
func TestLowTrafficAccountInPartition(t *testing.T) {
	const (
		total     = 1_000_000
		prompt    = 8000
		perSecond = 6
		partition = 7 * time.Second
	)
	refused := map[bool]int{}
	for _, lends := range []bool{false, true} {
		f := newFleet(72, total, lends)
		random := rand.New(rand.NewPCG(1, 1))
		request := func() bool {
			r, err := f.reserve(fmt.Sprint("e", random.IntN(72)), prompt)
			if err != nil {
				return false
			}
			r.Settle(prompt / 2)
			return true
		}
		for range 40 {
			for range perSecond / 2 {
				request()
			}
			f.syncAll(500 * time.Millisecond)
		}
		f.coresDown = true
		for range int(partition.Seconds()) {
			for range perSecond {
				if !request() {
					refused[lends]++
				}
			}
			f.syncAll(time.Second)
		}
	}
	all := perSecond * int(partition.Seconds())
	if refused[true] > all/20 {
		t.Errorf("with loans: got %d of %d requests refused, want at most 5%%", refused[true], all)
	}
	if refused[false] <= refused[true] {
		t.Errorf("got %d of %d requests refused without loans and %d with them, want more without", refused[false], all, refused[true])
	}
}

// If all instances lose their power when most of a budget is spent, what they
// hold counts as spent. That must be a small part of what the callers have left.
func TestPowerLossNearEndOfBudget(t *testing.T) {
	const (
		total     = 4_000_000
		prompt    = 4000
		perSecond = 20
		interval  = 200 * time.Millisecond
		maxShare  = 0.25 // of what is left, from 30% to 15% of the budget
	)
	f := newFleet(8, total, true)
	random := rand.New(rand.NewPCG(1, 1))
	spent, worst := int64(0), 0.0
	for spent < total*85/100 {
		for range int(perSecond * interval.Seconds()) {
			if r, err := f.reserve(fmt.Sprint("e", random.IntN(8)), prompt); err == nil {
				r.Settle(prompt)
				spent += prompt
			}
		}
		f.syncAll(interval)
		if left := total - spent; left < total*30/100 {
			worst = max(worst, float64(left-f.budgets.Free(account))/float64(left))
		}
	}
	if worst > maxShare {
		t.Errorf("got %.2f of what is left held by instances, want at most %v", worst, maxShare)
	}
}

// Lost messages, crashes, restarts and leader outages must never let the fleet
// spend more than the budget.
func TestRandomLoans(t *testing.T) {
	const total = 20_000
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(7, total, true)
		f.drop = func() (bool, bool) {
			n := rapid.IntRange(0, 9).Draw(t, "lost")
			return n == 0, n == 1
		}
		spent := int64(0)
		var open []struct {
			r      *spender.Reservation
			tokens int64
		}
		address := func() string { return fmt.Sprint("e", rapid.IntRange(0, 6).Draw(t, "instance")) }
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				tokens := rapid.Int64Range(1, 900).Draw(t, "tokens")
				if r, err := f.reserve(address(), tokens); err == nil {
					open = append(open, struct {
						r      *spender.Reservation
						tokens int64
					}{r, tokens})
				}
			},
			"settle": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				cost := rapid.Int64Range(0, open[0].tokens).Draw(t, "cost")
				open[0].r.Settle(cost)
				spent += cost
				open = open[1:]
			},
			"repay": func(t *rapid.T) {
				e := f.instances[address()]
				e.lender.Return(t.Context(), e.spender.TakeSurplus(func(string) bool { return false }))
			},
			"round": func(*rapid.T) { f.syncAll(200 * time.Millisecond) },
			"silence": func(*rapid.T) {
				f.coresDown = !f.coresDown
			},
			"restart": func(t *rapid.T) {
				a := address()
				// The tokens of the previous incarnation count as spent.
				f.now = f.now.Add(time.Millisecond)
				f.start(a, true)
			},
			"stop": func(t *rapid.T) {
				a := address()
				e := f.instances[a]
				if f.coresDown {
					e.lender.Return(t.Context(), e.spender.Drain())
				}
				last := e.spender.Close()
				if !f.coresDown {
					e.sequence++
					f.budgets.Apply(&wire.Allotment{Instance: e.name, Sequence: e.sequence, Allowances: last, Closing: true})
				}
				f.now = f.now.Add(time.Millisecond)
				f.start(a, true)
			},
			"": func(t *rapid.T) {
				reserved := int64(0)
				for _, o := range open {
					reserved += o.tokens
				}
				if spent+reserved > total {
					t.Fatalf("got %d spent and %d reserved, want at most %d", spent, reserved, total)
				}
			},
		})
	})
}

// An instance that stops while the core instances are unreachable must return
// its tokens to another lender. Otherwise they count as spent once the next
// incarnation starts.
func TestStopWhileCoresUnreachable(t *testing.T) {
	f := newFleet(6, 100_000, true)
	for range 10 {
		for address := range f.instances {
			if r, err := f.reserve(address, 500); err == nil {
				r.Settle(500)
			}
		}
		f.syncAll(500 * time.Millisecond)
	}
	f.coresDown = true
	var stopped *instance
	var next string
	for _, m := range f.members {
		e := f.instances[m.Address]
		if zone, _, _ := e.lender.DemandShare(account); zone > 0 && m.Zone == "z0" {
			if stopped == nil {
				stopped = e
			} else {
				next = m.Address
			}
		}
	}
	rest := stopped.spender.Drain()
	before := f.instances[next].spender.Drain()
	for name, tokens := range before {
		f.instances[next].spender.Credit(name, tokens)
	}
	stopped.lender.Return(t.Context(), rest)
	if got, want := f.instances[next].spender.Drain()[account], before[account]+rest[account]; got != want || rest[account] == 0 {
		t.Errorf("other lender of the zone: got %d tokens, want %d, including %d repaid", got, want, rest[account])
	}
}

// All instances must agree on the lenders of an account, and losing one
// instance must add only one new lender.
func TestLenderSelection(t *testing.T) {
	f := newFleet(30, 1000, true)
	lenders := func() map[string]bool {
		found := map[string]bool{}
		for address, e := range f.instances {
			if zone, all, known := e.lender.DemandShare(account); zone > 0 {
				found[address] = true
				if zone != 0.5 || all != 1.0/6 || !known {
					t.Errorf("%s: got shares %v and %v, want 1/2 and 1/6", address, zone, all)
				}
			}
		}
		return found
	}
	before := lenders()
	if len(before) != 6 {
		t.Fatalf("got %d lenders, want 2 in each of 3 zones", len(before))
	}
	for lost := range before {
		delete(f.instances, lost)
		var members []*wire.Member
		for _, m := range f.members {
			if m.Address != lost {
				members = append(members, m)
			}
		}
		for _, e := range f.instances {
			e.lender.Update(members)
		}
		break
	}
	changed := 0
	for address := range lenders() {
		if !before[address] {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("got %d new lenders after the loss of one, want 1", changed)
	}
}
