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
	// shardBits is the number of low bits of a reservation ID that select its
	// shard. With 64 shards, concurrent requests of different accounts rarely
	// share a lock.
	shardBits  = 6
	shardCount = 1 << shardBits
)

// Config configures a Reserver.
type Config struct {
	// Holding returns the name and current incarnation of this instance.
	Holding func() *wire.Holding
	// Holders returns the names of the holders, nearest first.
	Holders func() []string
	// Draw, Return and Settle call the Books service of a holder.
	Draw   func(ctx context.Context, holder string, request *wire.DrawRequest) (*wire.DrawReply, error)
	Return func(ctx context.Context, holder string, request *wire.ReturnRequest) (*wire.ReturnReply, error)
	Settle func(ctx context.Context, holder string, request *wire.SettleRequest) (*wire.SettleReply, error)
	Now    func() time.Time
	Logger *zap.Logger
}

// Reserver manages the allowances of one entry instance by account, holder,
// epoch and incarnation. It is safe for concurrent use.
type Reserver struct {
	cfg            Config
	seed           maphash.Seed
	shards         [shardCount]shard
	closed         atomic.Bool // Run has ended
	returnsStopped atomic.Bool // returns are no longer sent
	mu             sync.Mutex
	senders        map[string]*sender
	returns        map[string]*returnQueue
	backoff        map[string]time.Time // end of the backoff of holders that failed
	probing        map[string]bool      // holders with a running probe
	maxBackoffEnd  atomic.Int64         // latest end in backoff, so that the hot path needs no lock
}

type shard struct {
	mu           sync.Mutex
	accounts     map[string]*account
	reservations map[uint64]reservation
	lastID       uint64
}

// reservation refers to its allowance, because only the ledger that issued the
// allowance accepts the bill.
type reservation struct {
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
		returns: map[string]*returnQueue{},
		backoff: map[string]time.Time{},
		probing: map[string]bool{},
	}
	for i := range r.shards {
		r.shards[i].accounts = map[string]*account{}
		r.shards[i].reservations = map[uint64]reservation{}
	}
	return r
}

// Reserve reserves amount tokens of the account and returns a reservation ID
// for Settle or Cancel. It makes no call if an allowance has enough tokens.
// Otherwise it draws from the holders, nearest first. It returns
// fault.Exhausted if the responding holders have too few tokens,
// fault.Unavailable if no holder can be reached, and fault.Draining after Run
// has ended.
func (r *Reserver) Reserve(ctx context.Context, name string, amount int64) (uint64, error) {
	if amount < 0 {
		return 0, eris.Wrapf(fault.Malformed, "reserve %d tokens: amount is negative", amount)
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
	a.revokeStale(r.cfg.Holding())
	if len(a.waiters) == 0 {
		if id, ok := a.reserve(amount, now, r.inBackoff); ok {
			r.maybePrefetch(a, now)
			s.mu.Unlock()
			return id, nil
		}
	}
	w := &waiter{amount: amount, done: make(chan struct{})}
	a.waiters = append(a.waiters, w)
	r.startDraw(a)
	s.mu.Unlock()
	return r.wait(ctx, a, w)
}

// Cancel releases the tokens of a reservation to its allowance. An unknown ID
// has no effect.
func (r *Reserver) Cancel(id uint64) {
	s := &r.shards[id&(shardCount-1)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.reservations[id]; ok {
		delete(s.reservations, id)
		t.allowance.release(t.amount, t.amount)
	}
}

// Run returns idle allowances until ctx ends, then returns all tokens that
// aren't reserved.
func (r *Reserver) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for done := false; !done; {
		select {
		case <-ctx.Done():
			done = true
		case <-tick.C:
			r.sweep(r.cfg.Now().Add(-idleTimeout))
			r.pollCopied()
			r.probe()
		}
	}
	r.closed.Store(true)
	r.sweep(r.cfg.Now().Add(time.Hour))
	r.flush(context.WithoutCancel(ctx))
}

func (r *Reserver) shard(name string) (*shard, uint64) {
	index := maphash.String(r.seed, name) & (shardCount - 1)
	return &r.shards[index], index
}
