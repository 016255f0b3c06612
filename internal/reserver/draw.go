package reserver

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// demandWindow is the window over which the demand of an account is summed.
	demandWindow = time.Second
	// drawTimeout bounds one draw. A holder without free tokens requests a
	// grant for up to one second before it replies.
	drawTimeout = 1500 * time.Millisecond
	// fallbackDrawTimeout bounds a draw after another holder has reported that
	// its tokens are exhausted. A holder with free tokens replies at once.
	fallbackDrawTimeout = 500 * time.Millisecond
	// failureBackoff is how long a failed holder is tried last, or not at all
	// once another holder is exhausted. The holder is probed in the background
	// meanwhile; the backoff covers two probes.
	failureBackoff = 3 * time.Second
	// prefetchInterval is the minimum time between draws ahead of demand, so
	// that an account near its budget doesn't cause a draw per request.
	prefetchInterval = 50 * time.Millisecond
	// prefetchBackoff is the delay before the next draw ahead of demand after a
	// failed one.
	prefetchBackoff = 500 * time.Millisecond
	// lostReplyInterval is the delay before a draw that recovers the tokens of
	// a lost reply.
	lostReplyInterval = 2 * time.Second
	// drawWindows is the number of demand windows that a draw requests tokens
	// for.
	drawWindows = 2
)

// waiter is a call of Reserve that waits for a draw. Its fields are protected
// by the mutex of the shard until done is closed.
type waiter struct {
	amount int64
	id     uint64
	err    error
	done   chan struct{}
}

func (w *waiter) finish(id uint64, err error) {
	w.id, w.err = id, err
	close(w.done)
}

// wait returns the result of a waiter, and removes it from the queue when ctx
// ends.
func (r *Reserver) wait(ctx context.Context, a *account, w *waiter) (uint64, error) {
	select {
	case <-w.done:
		return w.id, w.err
	case <-ctx.Done():
	}
	a.shard.mu.Lock()
	if i := slices.Index(a.waiters, w); i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
		w.err = eris.Wrap(fault.Expired, "reserve")
	}
	a.shard.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	return w.id, nil
}

// maybePrefetch starts a draw if fewer tokens are free than half of the demand
// in the last window.
func (r *Reserver) maybePrefetch(a *account, now time.Time) {
	if a.drawing || now.Before(a.prefetchAfter) {
		return
	}
	if a.free("") < a.demand.Sum(now)/2 {
		a.prefetchAfter = now.Add(prefetchInterval)
		r.startDraw(a)
	}
}

// startDraw starts the draw goroutine of the account unless it is running. The
// mutex of the shard must be held.
func (r *Reserver) startDraw(a *account) {
	if !a.drawing {
		a.drawing = true
		go r.drawLoop(a)
	}
}

// drawLoop draws until no waiter is left. After each draw it serves the waiters
// in order of arrival.
func (r *Reserver) drawLoop(a *account) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	defer func() { a.drawing = false }()
	for first := true; first || len(a.waiters) > 0; first = false {
		if len(a.waiters) == 0 {
			r.prefetch(a)
		} else {
			r.drawFromAny(a, a.waiters[0].amount)
		}
		r.serveWaiters(a)
	}
}

// serveWaiters reserves tokens for the waiters whose amounts are available.
func (r *Reserver) serveWaiters(a *account) {
	now := r.cfg.Now()
	a.revokeStale(r.cfg.Holding())
	remaining := a.waiters[:0]
	for _, w := range a.waiters {
		if id, ok := a.reserve(w.amount, now, r.inBackoff); ok {
			w.finish(id, nil)
		} else {
			remaining = append(remaining, w)
		}
	}
	clear(a.waiters[len(remaining):])
	a.waiters = remaining
}

// prefetch draws from the first holder in order, or from one whose last reply
// was lost. No caller waits for it, so a failure only delays the next
// attempt.
func (r *Reserver) prefetch(a *account) {
	holders := r.holderOrder()
	for holder := range a.lostReplies {
		if !r.inBackoff(holder) {
			holders = []string{holder}
		}
	}
	if len(holders) == 0 || r.drawFrom(a, holders[0], 1, drawTimeout) != nil {
		a.prefetchAfter = r.cfg.Now().Add(prefetchBackoff)
	}
}

// drawFromAny tries the holders in order until the allowances suffice for a
// reservation of the amount. If none succeeds, it fails the waiters that need
// at least as much. The mutex of the shard must be held; it is released during
// the calls.
func (r *Reserver) drawFromAny(a *account, amount int64) {
	refused := eris.Wrap(fault.Unavailable, "no holders known")
	spent := false
	for i, holder := range r.holderOrder() {
		timeout := drawTimeout
		if spent {
			if r.inBackoff(holder) {
				continue
			}
			timeout = fallbackDrawTimeout
		}
		err := r.drawFrom(a, holder, amount, timeout)
		if err == nil {
			return
		}
		exhausted := fault.Of(err) == fault.Exhausted
		if spent = spent || exhausted; i == 0 || exhausted {
			refused = err
		}
	}
	r.failWaiters(a, amount, refused)
}

// failWaiters fails the waiters that need at least the amount, or all of them
// if no holder could be reached.
func (r *Reserver) failWaiters(a *account, amount int64, err error) {
	all := fault.Of(err) != fault.Exhausted
	remaining := a.waiters[:0]
	for _, w := range a.waiters {
		if all || w.amount >= amount {
			w.finish(0, err)
		} else {
			remaining = append(remaining, w)
		}
	}
	clear(a.waiters[len(remaining):])
	a.waiters = remaining
}

// drawFrom draws from one holder. It returns fault.Exhausted if the drawn
// tokens don't suffice for a reservation of the amount.
func (r *Reserver) drawFrom(a *account, holder string, amount int64, timeout time.Duration) error {
	h := r.cfg.Holding()
	now := r.cfg.Now()
	a.revokeStale(h)
	need := max(amount-a.free(holder), 0)
	want := drawWindows * a.demand.Sum(now)
	for _, w := range a.waiters {
		want = max(want, w.amount)
	}
	request := &wire.DrawRequest{Holding: h, Account: a.name, Need: need, Want: max(want-a.free(""), need)}
	epoch, known := a.accounted(holder, h)
	known += r.unconfirmedReturns(holder, h, a.name)
	a.shard.mu.Unlock()
	reply, err := r.callDraw(holder, request, timeout)
	a.shard.mu.Lock()
	if reply == nil {
		switch fault.Of(err) {
		case fault.Unavailable, fault.Corrupt, fault.Internal:
			// The holder may have executed the draw.
			a.markLostReply(holder, r.cfg.Now())
		}
		return err
	}
	if reply.Epoch > epoch {
		known = 0
	}
	s := source{holder: holder, instance: h.Instance, incarnation: h.Incarnation, epoch: reply.Epoch}
	recovered := r.recoverLost(a, holder, reply, known)
	// A request without a price needs an allowance for its bill, but no tokens.
	if err == nil || amount == 0 || recovered > 0 {
		a.credit(s, reply.Amount+recovered, r.cfg.Now())
	}
	for _, l := range a.allowances {
		if !l.revoked && l.free >= amount && !r.inBackoff(l.holder) {
			return nil
		}
	}
	if err != nil {
		return err
	}
	return eris.Wrapf(fault.Exhausted, "holder %s granted %d of %d tokens", holder, reply.Amount, need)
}

// recoverLost returns the tokens that the ledger counts for this incarnation in
// excess of the drawn ones and of those known before the call: the replies that
// contained them were lost. Settles and returns that overlap the draw can only
// lower the result; a later draw recovers the difference. Draws don't overlap,
// since an account has one at a time.
func (r *Reserver) recoverLost(a *account, holder string, reply *wire.DrawReply, known int64) int64 {
	delete(a.lostReplies, holder)
	recovered := max(reply.Held-reply.Amount-known, 0)
	if recovered > 0 {
		r.cfg.Logger.Info("recovered tokens of lost replies", zap.String("holder", holder), zap.String("account", a.name), zap.Int64("tokens", recovered))
	}
	return recovered
}

// markLostReply records that the holder may count more tokens for this instance
// than it knows of.
func (a *account) markLostReply(holder string, now time.Time) {
	if a.lostReplies == nil {
		a.lostReplies = map[string]time.Time{}
	}
	a.lostReplies[holder] = now.Add(lostReplyInterval)
}

// reconcile draws again from a holder whose draw reply was lost, so that these
// tokens don't stay idle until the next request.
func (r *Reserver) reconcile(a *account, now time.Time) {
	for holder, next := range a.lostReplies {
		if !now.Before(next) && !r.inBackoff(holder) {
			r.startDraw(a)
			return
		}
	}
}

// callDraw makes one call. It returns the reply along with an error for
// fault.Exhausted. Without a reply, the outcome may be unknown.
func (r *Reserver) callDraw(holder string, request *wire.DrawRequest, timeout time.Duration) (*wire.DrawReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply, err := r.cfg.Draw(ctx, holder, request)
	if err != nil {
		r.markFailed(holder)
		r.cfg.Logger.Debug("draw failed", zap.String("holder", holder), zap.Error(err))
		return nil, eris.Wrapf(fault.Unavailable, "draw from %s: %v", holder, err)
	}
	if reply.Fault == nil {
		r.markHealthy(holder)
		return reply, nil
	}
	kind := fault.Parse(reply.Fault.Code)
	err = eris.Wrapf(kind, "draw from %s: %s", holder, reply.Fault.Text)
	if kind == fault.Exhausted {
		r.markHealthy(holder)
		return reply, err
	}
	r.markFailed(holder)
	return nil, err
}

// markFailed puts the holder into backoff.
func (r *Reserver) markFailed(holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.cfg.Now().Add(failureBackoff)
	r.backoff[holder] = until
	r.maxBackoffEnd.Store(max(r.maxBackoffEnd.Load(), until.UnixNano()))
}

// markHealthy ends the backoff of a holder that has replied.
func (r *Reserver) markHealthy(holder string) {
	if r.maxBackoffEnd.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.backoff, holder)
	if len(r.backoff) == 0 {
		r.maxBackoffEnd.Store(0)
	}
}

// probe calls the holders in backoff, so that a recovered one is used again at
// once and no request waits for the others.
func (r *Reserver) probe() {
	if r.maxBackoffEnd.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for holder := range r.backoff {
		if !r.probing[holder] {
			r.probing[holder] = true
			go r.probeOne(holder)
		}
	}
}

func (r *Reserver) probeOne(holder string) {
	// A settle request without bills has no effect.
	if _, err := r.callSettle(r.sender(holder), &wire.SettleRequest{Holding: r.cfg.Holding()}); err != nil {
		r.markFailed(holder)
	} else {
		r.markHealthy(holder)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.probing, holder)
}

// inBackoff reports whether a holder failed recently.
func (r *Reserver) inBackoff(holder string) bool {
	now := r.cfg.Now()
	if now.UnixNano() >= r.maxBackoffEnd.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.backoff[holder])
}

// holderOrder returns the holders, nearest first, with those in backoff at the
// end.
func (r *Reserver) holderOrder() []string {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var healthy, failing []string
	for _, holder := range r.cfg.Holders() {
		if now.Before(r.backoff[holder]) {
			failing = append(failing, holder)
		} else {
			healthy = append(healthy, holder)
		}
	}
	return append(healthy, failing...)
}
