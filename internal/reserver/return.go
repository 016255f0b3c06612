package reserver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// idleTimeout is how long unused tokens of an allowance are kept.
	idleTimeout = 5 * time.Second
	// sweepInterval is the time between searches for idle allowances.
	sweepInterval = time.Second
	// returnTimeout bounds one call to return tokens.
	returnTimeout = time.Second
	// returnRetryDelay is the delay before a call with an unknown outcome is
	// retried.
	returnRetryDelay = 50 * time.Millisecond
	// flushTimeout bounds the return of all allowances when Run ends.
	flushTimeout = 3 * time.Second
)

// returnQueue returns tokens to one holder, one call at a time and in sequence
// order, so that a ledger that remembers the last sequence of an incarnation
// never mistakes a delayed return for a repeated one.
type returnQueue struct {
	holder   string
	mu       sync.Mutex
	queue    []*wire.ReturnRequest
	sequence uint64
	idle     chan struct{} // closed when the queue becomes empty; nil while it is empty
}

// sweep takes the free tokens of allowances last used before the given time and
// queues them for return.
func (r *Reserver) sweep(before time.Time) {
	for i := range r.shards {
		r.sweepShard(&r.shards[i], before)
	}
}

func (r *Reserver) sweepShard(s *shard, before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := r.cfg.Holding()
	for name, a := range s.accounts {
		a.revokeStale(h)
		for _, l := range a.allowances {
			if l.free > 0 && l.lastUsed.Before(before) {
				r.queueReturn(l, name, l.free)
				l.free = 0
			}
		}
		if !r.closed.Load() {
			r.reconcile(a, r.cfg.Now())
		}
		if a.prune(before) {
			delete(s.accounts, name)
		}
	}
}

func (r *Reserver) queueReturn(l *allowance, name string, amount int64) {
	r.mu.Lock()
	b := r.returns[l.holder]
	if b == nil {
		b = &returnQueue{holder: l.holder}
		r.returns[l.holder] = b
	}
	r.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	b.queue = append(b.queue, &wire.ReturnRequest{
		Holding: l.holding(), Account: name, Epoch: l.epoch, Amount: amount, Sequence: b.sequence,
	})
	if b.idle == nil {
		b.idle = make(chan struct{})
		go r.sendReturns(b)
	}
}

// unconfirmedReturns returns the tokens of an account that are queued for
// return and not confirmed.
func (r *Reserver) unconfirmedReturns(holder string, h *wire.Holding, name string) int64 {
	r.mu.Lock()
	b := r.returns[holder]
	r.mu.Unlock()
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum int64
	for _, q := range b.queue {
		if q.Account == name && q.Holding.Incarnation == h.Incarnation && q.Holding.Instance == h.Instance {
			sum += q.Amount
		}
	}
	return sum
}

// sendReturns sends the queued returns until the queue is empty. It retries a
// return with an unknown outcome until the incarnation ends.
func (r *Reserver) sendReturns(b *returnQueue) {
	for {
		b.mu.Lock()
		if len(b.queue) == 0 {
			close(b.idle)
			b.idle = nil
			b.mu.Unlock()
			return
		}
		request := b.queue[0]
		b.mu.Unlock()
		for !r.sendReturn(b, request) {
			time.Sleep(returnRetryDelay)
		}
		b.mu.Lock()
		b.queue = b.queue[1:]
		b.mu.Unlock()
	}
}

// sendReturn sends a return and reports whether no retry is needed.
func (r *Reserver) sendReturn(b *returnQueue, request *wire.ReturnRequest) bool {
	if h := r.cfg.Holding(); h.Incarnation != request.Holding.Incarnation || r.returnsStopped.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	reply, err := r.cfg.Return(ctx, b.holder, request)
	if err != nil {
		return false
	}
	if reply.Fault != nil {
		r.cfg.Logger.Info("return refused", zap.String("holder", b.holder), zap.String("account", request.Account), zap.String("fault", reply.Fault.Text))
		kind := fault.Parse(reply.Fault.Code)
		return kind != fault.Unavailable && kind != fault.Internal
	}
	return true
}

// flush waits until the queued returns are sent, or for flushTimeout. Tokens
// that were not returned become free when the incarnation is fenced.
func (r *Reserver) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	defer r.returnsStopped.Store(true)
	for {
		idle := r.pendingReturns()
		if idle == nil {
			return
		}
		select {
		case <-idle:
		case <-ctx.Done():
			r.cfg.Logger.Warn("timed out returning allowances, holder not responding")
			return
		}
	}
}

// pendingReturns returns a channel that is closed when one of the non-empty
// queues becomes empty, or nil if all are empty.
func (r *Reserver) pendingReturns() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.returns {
		b.mu.Lock()
		idle := b.idle
		b.mu.Unlock()
		if idle != nil {
			return idle
		}
	}
	return nil
}
