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
	// demandWindow is the time over which the demand of an account is measured.
	demandWindow = time.Second
	// drawTimeout bounds one draw. A holder without free rights asks the log
	// for up to one second before it answers.
	drawTimeout = 1500 * time.Millisecond
	// farTimeout bounds a draw after another holder has refused for lack of
	// rights. A holder with free rights answers at once.
	farTimeout = 500 * time.Millisecond
	// avoidTime is how long a holder that didn't answer is asked after the
	// others, or not at all if one of them has refused. It is called in the
	// background meanwhile, so that it covers two of these calls.
	avoidTime = 3 * time.Second
	// earlyPause separates draws ahead of time, so that an account near its
	// budget doesn't cause a draw per request.
	earlyPause = 50 * time.Millisecond
	// failedPause separates draws ahead of time after a refused one.
	failedPause = 500 * time.Millisecond
	// unsurePause separates the draws that ask for the tokens of a lost reply.
	unsurePause = 2 * time.Second
	// drawSpan is the demand that a draw asks for, in demand windows.
	drawSpan = 2
)

// waiter is a caller of Reserve that needs a draw. Its fields are protected
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

// wait returns the result of a waiter, and cancels its place when ctx ends.
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

// ahead starts a draw without a waiter when less than half a second's worth
// of the demand is left.
func (r *Reserver) ahead(a *account, now time.Time) {
	if a.drawing || now.Before(a.early) {
		return
	}
	if a.free("") < a.demand.Sum(now)/2 {
		a.early = now.Add(earlyPause)
		r.draw(a)
	}
}

// draw starts the goroutine that draws for the account, unless it runs. The
// mutex of the shard is held.
func (r *Reserver) draw(a *account) {
	if !a.drawing {
		a.drawing = true
		go r.drawAll(a)
	}
}

// drawAll draws until no waiter is left. Each draw serves the waiters in the
// order of their arrival.
func (r *Reserver) drawAll(a *account) {
	a.shard.mu.Lock()
	defer a.shard.mu.Unlock()
	defer func() { a.drawing = false }()
	for first := true; first || len(a.waiters) > 0; first = false {
		if len(a.waiters) == 0 {
			r.drawEarly(a)
		} else {
			r.drawOnce(a, a.waiters[0].amount)
		}
		r.serve(a)
	}
}

// serve hands the free tokens to the waiters that they suffice for.
func (r *Reserver) serve(a *account) {
	now := r.cfg.Now()
	a.drop(r.cfg.Holding())
	left := a.waiters[:0]
	for _, w := range a.waiters {
		if id, ok := a.take(w.amount, now, r.avoided); ok {
			w.finish(id, nil)
		} else {
			left = append(left, w)
		}
	}
	clear(a.waiters[len(left):])
	a.waiters = left
}

// drawEarly draws ahead of time from the nearest holder that answers, or from
// one whose last reply was lost. Nobody waits for it, so a refusal only delays
// the next one.
func (r *Reserver) drawEarly(a *account) {
	holders := r.order()
	for holder := range a.unsure {
		if !r.avoided(holder) {
			holders = []string{holder}
		}
	}
	if len(holders) == 0 || r.drawFrom(a, holders[0], 1, drawTimeout) != nil {
		a.early = r.cfg.Now().Add(failedPause)
	}
}

// drawOnce asks the holders in order until one of them gives enough for a
// reservation of the amount. If none does, it fails the waiters that need as
// much. The mutex of the shard is held, but not during the calls.
func (r *Reserver) drawOnce(a *account, amount int64) {
	refused := eris.Wrap(fault.Unavailable, "no holder is known")
	spent := false
	for i, holder := range r.order() {
		timeout := drawTimeout
		if spent {
			if r.avoided(holder) {
				continue
			}
			timeout = farTimeout
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
	r.refuse(a, amount, refused)
}

// refuse fails the waiters that need at least the amount, or all of them if
// no holder could be reached.
func (r *Reserver) refuse(a *account, amount int64, err error) {
	all := fault.Of(err) != fault.Exhausted
	left := a.waiters[:0]
	for _, w := range a.waiters {
		if all || w.amount >= amount {
			w.finish(0, err)
		} else {
			left = append(left, w)
		}
	}
	clear(a.waiters[len(left):])
	a.waiters = left
}

// drawFrom draws from one holder. It fails with fault.Exhausted if the drawn
// tokens don't allow a reservation of the amount.
func (r *Reserver) drawFrom(a *account, holder string, amount int64, timeout time.Duration) error {
	h := r.cfg.Holding()
	now := r.cfg.Now()
	a.drop(h)
	need := max(amount-a.free(holder), 0)
	want := drawSpan * a.demand.Sum(now)
	for _, w := range a.waiters {
		want = max(want, w.amount)
	}
	request := &wire.DrawRequest{Holding: h, Account: a.name, Need: need, Want: max(want-a.free(""), need)}
	epoch, known := a.known(holder, h)
	known += r.returning(holder, h, a.name)
	a.shard.mu.Unlock()
	reply, err := r.callDraw(holder, request, timeout)
	a.shard.mu.Lock()
	if reply == nil {
		switch fault.Of(err) {
		case fault.Unavailable, fault.Corrupt, fault.Internal:
			// The draw may have had an effect.
			a.miss(holder, r.cfg.Now())
		}
		return err
	}
	if reply.Epoch > epoch {
		known = 0
	}
	s := source{holder: holder, instance: h.Instance, incarnation: h.Incarnation, epoch: reply.Epoch}
	found := r.found(a, holder, reply, known)
	// A request without a price needs a ledger for its bill, but no tokens.
	if err == nil || amount == 0 || found > 0 {
		a.credit(s, reply.Amount+found, r.cfg.Now())
	}
	for _, l := range a.allowances {
		if !l.void && l.free >= amount && !r.avoided(l.holder) {
			return nil
		}
	}
	if err != nil {
		return err
	}
	return eris.Wrapf(fault.Exhausted, "holder %s gave %d of %d tokens", holder, reply.Amount, need)
}

// found returns the tokens that the ledger counts for this incarnation beyond
// the drawn ones and those that were known when the call began: replies with
// them were lost. Settles and returns that cross with the draw only lower the
// result, and what they hide is found by a later draw. Draws don't cross,
// since an account has one at a time.
func (r *Reserver) found(a *account, holder string, reply *wire.DrawReply, known int64) int64 {
	delete(a.unsure, holder)
	found := max(reply.Held-reply.Amount-known, 0)
	if found > 0 {
		r.cfg.Logger.Info("Tokens of lost replies are found.", zap.String("holder", holder), zap.String("account", a.name), zap.Int64("tokens", found))
	}
	return found
}

// miss notes that the ledger may count more tokens for this instance than it
// knows of.
func (a *account) miss(holder string, now time.Time) {
	if a.unsure == nil {
		a.unsure = map[string]time.Time{}
	}
	a.unsure[holder] = now.Add(unsurePause)
}

// reconcile draws again where the reply of a draw was lost, so that its tokens
// don't stay idle until the next request.
func (r *Reserver) reconcile(a *account, now time.Time) {
	for holder, next := range a.unsure {
		if !now.Before(next) && !r.avoided(holder) {
			r.draw(a)
			return
		}
	}
}

// callDraw makes one call. With fault.Exhausted, it returns the reply as well;
// without a reply the outcome may be unknown.
func (r *Reserver) callDraw(holder string, request *wire.DrawRequest, timeout time.Duration) (*wire.DrawReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply, err := r.cfg.Draw(ctx, holder, request)
	if err != nil {
		r.shun(holder)
		r.cfg.Logger.Debug("Draw failed.", zap.String("holder", holder), zap.Error(err))
		return nil, eris.Wrapf(fault.Unavailable, "draw from %s: %v", holder, err)
	}
	if reply.Fault == nil {
		r.trust(holder)
		return reply, nil
	}
	kind := fault.Parse(reply.Fault.Code)
	err = eris.Wrapf(kind, "draw from %s: %s", holder, reply.Fault.Text)
	if kind == fault.Exhausted {
		r.trust(holder)
		return reply, err
	}
	r.shun(holder)
	return nil, err
}

// shun has the holder asked after the others for a while.
func (r *Reserver) shun(holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	until := r.cfg.Now().Add(avoidTime)
	r.avoid[holder] = until
	r.failed.Store(max(r.failed.Load(), until.UnixNano()))
}

// trust ends the avoidance of a holder that has answered.
func (r *Reserver) trust(holder string) {
	if r.failed.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.avoid, holder)
	if len(r.avoid) == 0 {
		r.failed.Store(0)
	}
}

// probe calls the holders that failed lately. One that answers is asked again
// at once, and for the others no request waits.
func (r *Reserver) probe() {
	if r.failed.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for holder := range r.avoid {
		if !r.probing[holder] {
			r.probing[holder] = true
			go r.probeOne(holder)
		}
	}
}

func (r *Reserver) probeOne(holder string) {
	// A settle without bills has no effect.
	if _, err := r.callSettle(r.sender(holder), &wire.SettleRequest{Holding: r.cfg.Holding()}); err != nil {
		r.shun(holder)
	} else {
		r.trust(holder)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.probing, holder)
}

// avoided tells whether a holder failed lately.
func (r *Reserver) avoided(holder string) bool {
	now := r.cfg.Now()
	if now.UnixNano() >= r.failed.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.avoid[holder])
}

// order returns the holders, the nearest first, and those that failed lately
// at the end.
func (r *Reserver) order() []string {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var near, far []string
	for _, holder := range r.cfg.Holders() {
		if now.Before(r.avoid[holder]) {
			far = append(far, holder)
		} else {
			near = append(near, holder)
		}
	}
	return append(near, far...)
}
