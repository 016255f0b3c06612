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
	// idleTime is how long an allowance without reservations is kept.
	idleTime = 5 * time.Second
	// sweepInterval separates the searches for idle allowances.
	sweepInterval = time.Second
	// returnTimeout bounds one call to return tokens.
	returnTimeout = time.Second
	// returnPause separates calls with an unknown outcome.
	returnPause = 50 * time.Millisecond
	// flushTimeout bounds the return of all allowances at the end of Run.
	flushTimeout = 3 * time.Second
)

// returner returns tokens to one holder, one call at a time and in the order
// of the sequence, so that a ledger that remembers the last sequence of an
// incarnation never takes a delayed return for a repeated one.
type returner struct {
	holder   string
	mu       sync.Mutex
	queue    []*wire.ReturnRequest
	sequence uint64
	idle     chan struct{} // closed when the queue is empty; nil if it is
}

// sweep takes the free tokens of allowances that were last used before the
// given time and queues their return.
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
		a.drop(h)
		for _, l := range a.allowances {
			if l.free > 0 && l.used.Before(before) {
				r.giveBack(l, name, l.free)
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

func (r *Reserver) giveBack(l *allowance, name string, amount int64) {
	r.mu.Lock()
	b := r.returns[l.holder]
	if b == nil {
		b = &returner{holder: l.holder}
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

// returning returns the queued tokens of an account whose return isn't
// confirmed.
func (r *Reserver) returning(holder string, h *wire.Holding, name string) int64 {
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

// sendReturns sends the queued returns until the queue is empty. A return with
// an unknown outcome is resent for as long as its incarnation lives.
func (r *Reserver) sendReturns(b *returner) {
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
			time.Sleep(returnPause)
		}
		b.mu.Lock()
		b.queue = b.queue[1:]
		b.mu.Unlock()
	}
}

// sendReturn tells whether the outcome of a return is known.
func (r *Reserver) sendReturn(b *returner, request *wire.ReturnRequest) bool {
	if h := r.cfg.Holding(); h.Incarnation != request.Holding.Incarnation || r.stopped.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	reply, err := r.cfg.Return(ctx, b.holder, request)
	if err != nil {
		return false
	}
	if reply.Fault != nil {
		r.cfg.Logger.Info("Return refused.", zap.String("holder", b.holder), zap.String("account", request.Account), zap.String("fault", reply.Fault.Text))
		kind := fault.Parse(reply.Fault.Code)
		return kind != fault.Unavailable && kind != fault.Internal
	}
	return true
}

// flush waits for the queued returns, and gives up after a while. The rights
// that are not returned become free when the incarnation is fenced.
func (r *Reserver) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	defer r.stopped.Store(true)
	for {
		idle := r.pending()
		if idle == nil {
			return
		}
		select {
		case <-idle:
		case <-ctx.Done():
			r.cfg.Logger.Warn("Allowances are not returned, their holder doesn't answer.")
			return
		}
	}
}

// pending returns a channel that is closed when one of the queues is empty,
// or nil if all are.
func (r *Reserver) pending() chan struct{} {
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
