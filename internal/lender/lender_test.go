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

// instance is an entry instance without its path of requests.
type instance struct {
	name     string
	sequence uint64
	spender  *spender.Spender
	lender   *lender.Lender
}

// fleet is a leader and entry instances without a network between them.
type fleet struct {
	now       time.Time
	silent    bool // the leader answers nobody
	budgets   *allocator.Allocator
	instances map[string]*instance // by address
	members   []*wire.Member
	zones     map[string]string
	// waits is called when a request begins to wait for the leader.
	waits func()
	// lose reports whether the next call or its reply is lost.
	lose func() (call, reply bool)
}

const account = "shop"

// newFleet returns a fleet with instances in three zones. Without lending each
// holds a part of the budget for its own callers only.
func newFleet(instances int, total int64, lends bool) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), instances: map[string]*instance{}, zones: map[string]string{},
		budgets: allocator.New(allocator.Config{Budget: func(string) (int64, bool) { return total, true }}),
		lose:    func() (bool, bool) { return false, false },
		waits:   func() {},
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

// start starts an incarnation.
func (f *fleet) start(address string, lends bool) {
	e := &instance{name: fmt.Sprint(address, "#", f.now.UnixNano())}
	cfg := spender.Config{
		Isolated: func() bool { return f.silent }, CoresUnreachable: func() bool { return f.silent }, Now: func() time.Time { return f.now },
		RequestSync: func() { f.waits() },
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
		CoresUnreachable: func() bool { return f.silent }, Now: func() time.Time { return f.now },
	})
	e.lender.Update(f.members)
	e.spender.AddAccounts([]string{account})
	f.instances[address] = e
}

// reserve reserves tokens at an instance without a wait for the leader.
func (f *fleet) reserve(address string, tokens int64) (*spender.Reservation, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.waits = cancel
	return f.instances[address].spender.Reserve(ctx, account, tokens)
}

// round lets all instances call the leader, after a pause.
func (f *fleet) round(pause time.Duration) {
	f.now = f.now.Add(pause)
	if f.silent {
		return
	}
	demand, whole := map[string]int64{}, int64(0)
	limits := map[string]*wire.Limit{}
	for address, e := range f.instances {
		e.sequence++
		list := e.spender.Declare()
		limits[address] = f.budgets.Apply(&wire.Allotment{Instance: e.name, Sequence: e.sequence, Allowances: list}).Limits[0]
		demand[f.zones[address]] += list[0].Rate
		whole += list[0].Rate
	}
	for address, e := range f.instances {
		l := limits[address]
		l.Free, l.Demand, l.Whole = f.budgets.Free(account), demand[f.zones[address]], whole
		l.Spare = l.Free
		e.spender.UpdateLimits([]*wire.Limit{l}, len(f.instances))
	}
}

// client calls an instance without a network.
type client struct {
	f       *fleet
	address string
}

func (client) DRPCConn() drpc.Conn { return nil }

var errLost = errors.New("message is lost")

func call[R any](c client, serve func(*lender.Lender) (R, error)) (R, error) {
	var none R
	lostCall, lostReply := c.f.lose()
	e := c.f.instances[c.address]
	if lostCall || e == nil {
		return none, errLost
	}
	reply, err := serve(e.lender)
	if lostReply {
		return none, errLost
	}
	return reply, err
}

func (c client) Lend(ctx context.Context, q *wire.LendRequest) (*wire.LendReply, error) {
	return call(c, func(l *lender.Lender) (*wire.LendReply, error) { return l.Lend(ctx, q) })
}

func (c client) Repay(ctx context.Context, q *wire.RepayRequest) (*wire.RepayReply, error) {
	return call(c, func(l *lender.Lender) (*wire.RepayReply, error) { return l.Repay(ctx, q) })
}

// A small account whose requests are spread over many instances must be served
// while the core instances are silent. Without loans each instance holds too
// little for one request, or the parts of all hold most of the budget.
func TestSparseAccountInPartition(t *testing.T) {
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
			f.round(500 * time.Millisecond)
		}
		f.silent = true
		for range int(partition.Seconds()) {
			for range perSecond {
				if !request() {
					refused[lends]++
				}
			}
			f.round(time.Second)
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

// Loans that cross lost messages, deaths, restarts and silences of the leader
// must never let the fleet spend more than the budget.
func TestRandomLoans(t *testing.T) {
	const total = 20_000
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(7, total, true)
		f.lose = func() (bool, bool) {
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
			"round": func(*rapid.T) { f.round(200 * time.Millisecond) },
			"silence": func(*rapid.T) {
				f.silent = !f.silent
			},
			"restart": func(t *rapid.T) {
				a := address()
				// What the incarnation before holds counts as spent.
				f.now = f.now.Add(time.Millisecond)
				f.start(a, true)
			},
			"stop": func(t *rapid.T) {
				a := address()
				e := f.instances[a]
				if f.silent {
					e.lender.Return(t.Context(), e.spender.Drain())
				}
				last := e.spender.Close()
				if !f.silent {
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

// An instance that stops while the core instances are silent must leave its
// tokens with another one; the next incarnation would count them as spent.
func TestStopInSilence(t *testing.T) {
	f := newFleet(6, 100_000, true)
	for range 10 {
		for address := range f.instances {
			if r, err := f.reserve(address, 500); err == nil {
				r.Settle(500)
			}
		}
		f.round(500 * time.Millisecond)
	}
	f.silent = true
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
		t.Errorf("other lender of the zone: got %d tokens, want %d, of which %d are handed over", got, want, rest[account])
	}
}

// All instances must agree on the lenders of an account, and a lost instance
// must change the role of few others.
func TestRoles(t *testing.T) {
	f := newFleet(30, 1000, true)
	lenders := func() map[string]bool {
		found := map[string]bool{}
		for address, e := range f.instances {
			if zone, all, known := e.lender.DemandShare(account); zone > 0 {
				found[address] = true
				if zone != 0.5 || all != 1.0/6 || !known {
					t.Errorf("%s: got the parts %v and %v, want a half and a sixth", address, zone, all)
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
