package reserver

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/counter"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// shardBits is the part of a ticket that names its shard. With 64 shards,
	// concurrent requests of different accounts rarely share a lock.
	shardBits = 6
	shards    = 1 << shardBits
)

// Config configures a Reserver.
type Config struct {
	// Holding returns the name and the current incarnation of this instance.
	Holding func() *wire.Holding
	// Holders returns the names of the holders, the nearest first.
	Holders func() []string
	// Draw, Return and Settle call the service Books of a holder.
	Draw   func(ctx context.Context, holder string, request *wire.DrawRequest) (*wire.DrawReply, error)
	Return func(ctx context.Context, holder string, request *wire.ReturnRequest) (*wire.ReturnReply, error)
	Settle func(ctx context.Context, holder string, request *wire.SettleRequest) (*wire.SettleReply, error)
	Now    func() time.Time
	Logger *zap.Logger
}

// Reserver keeps the allowances of one entry instance per account, holder,
// epoch and incarnation. It is safe for concurrent use.
type Reserver struct {
	cfg     Config
	seed    maphash.Seed
	shards  [shards]shard
	closed  atomic.Bool // Run has ended
	stopped atomic.Bool // returns are no longer sent
	mu      sync.Mutex
	senders map[string]*sender
	returns map[string]*returner
	avoid   map[string]time.Time // holders that failed, until when they come last
	probing map[string]bool      // holders that are being called
	failed  atomic.Int64         // latest end of an entry of avoid, so that the hot path takes no lock
}

type shard struct {
	mu       sync.Mutex
	accounts map[string]*account
	tickets  map[uint64]ticket
	last     uint64
}

// ticket is one reservation. It pins the allowance, because only the ledger
// that issued the allowance accepts the bill.
type ticket struct {
	account   *account
	allowance *allowance
	amount    int64
}

// New returns a reserver without allowances.
func New(cfg Config) *Reserver {
	r := &Reserver{
		cfg:     cfg,
		seed:    maphash.MakeSeed(),
		senders: map[string]*sender{},
		returns: map[string]*returner{},
		avoid:   map[string]time.Time{},
		probing: map[string]bool{},
	}
	for i := range r.shards {
		r.shards[i].accounts = map[string]*account{}
		r.shards[i].tickets = map[uint64]ticket{}
	}
	return r
}

// Reserve sets amount tokens of the account aside and returns a ticket for
// Settle or Cancel. It sends no message if an allowance at hand suffices.
// Otherwise it draws from the holders, the nearest first, and fails with
// fault.Exhausted if the holders that answer have no rights for the amount,
// with fault.Unavailable if none can be reached, and with fault.Draining
// after Run has ended.
func (r *Reserver) Reserve(ctx context.Context, name string, amount int64) (uint64, error) {
	if amount < 0 {
		return 0, eris.Wrapf(fault.Malformed, "reserve %d tokens", amount)
	}
	if r.closed.Load() {
		return 0, eris.Wrap(fault.Draining, "reserve")
	}
	now := r.cfg.Now()
	s, index := r.shard(name)
	s.mu.Lock()
	a := s.accounts[name]
	if a == nil {
		a = &account{name: name, shard: s, index: index, demand: counter.Counter{Window: demandWindow}}
		s.accounts[name] = a
	}
	a.demand.Add(now, amount)
	a.drop(r.cfg.Holding())
	if len(a.waiters) == 0 {
		if id, ok := a.take(amount, now, r.avoided); ok {
			r.ahead(a, now)
			s.mu.Unlock()
			return id, nil
		}
	}
	w := &waiter{amount: amount, done: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	r.draw(a)
	s.mu.Unlock()
	return r.wait(ctx, a, w)
}

// Cancel gives the reserved tokens of a ticket back to their allowance. An
// unknown ticket has no effect.
func (r *Reserver) Cancel(id uint64) {
	s := &r.shards[id&(shards-1)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.tickets[id]; ok {
		delete(s.tickets, id)
		t.allowance.give(t.amount, t.amount)
	}
}

// Run returns idle allowances until ctx ends, and then everything that isn't
// reserved.
func (r *Reserver) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for done := false; !done; {
		select {
		case <-ctx.Done():
			done = true
		case <-tick.C:
			r.sweep(r.cfg.Now().Add(-idleTime))
			r.poll()
			r.probe()
		}
	}
	r.closed.Store(true)
	r.sweep(r.cfg.Now().Add(time.Hour))
	r.flush(context.WithoutCancel(ctx))
}

func (r *Reserver) shard(name string) (*shard, uint64) {
	index := maphash.String(r.seed, name) & (shards - 1)
	return &r.shards[index], index
}
