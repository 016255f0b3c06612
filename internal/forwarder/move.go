package forwarder

import (
	"errors"
	"time"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/pkg/route"
)

// replacement is a target that is to go on with the stream of a silent one. Two retries
// are taken from the budget for it: one for the move, and one so that the stream can
// return if the replacement fails.
type replacement struct {
	pick    *balancer.Pick
	counted time.Time // time at which the retries were taken
}

// retriesOfMove is the number of retries that are taken for a move.
const retriesOfMove = 2

// secureTarget chooses a target that can go on with a stream at once, and takes retries
// from the budget. It returns nil and the reason if there is none.
func (f *Forwarder) secureTarget(q balancer.Query, r route.Route, deadline time.Time) (next *replacement, denied string) {
	now := f.cfg.Now()
	if deadline.Sub(now) < max(r.FirstByteObjective, minTimeLeft) {
		return nil, deniedByDeadline
	}
	if !f.retrier(q.Pool).AllowRetries(retriesOfMove) {
		return nil, deniedByBudget
	}
	pick, err := f.cfg.Balancer.Choose(q)
	if err != nil {
		f.refund(q.Pool, now, retriesOfMove)
		return nil, deniedByChoice(err)
	}
	return &replacement{pick: pick, counted: now}, ""
}

// refund takes back n retries that were counted at a time.
func (f *Forwarder) refund(pool string, counted time.Time, n int) {
	for range n {
		f.retrier(pool).Refund(counted)
	}
}

// deniedByChoice returns the reason for an error of the choice of a target.
func deniedByChoice(err error) string {
	if errors.Is(err, balancer.ErrVersionGone) {
		return deniedByVersion
	}
	return deniedByTargets
}

// release gives back a target that was secured and isn't used.
func (f *Forwarder) release(next *replacement, pool string) {
	next.pick.Done(balancer.Canceled)
	f.refund(pool, next.counted, retriesOfMove)
}

// endWait stops the timer of an attempt and keeps the target that it has secured. That
// one is given back if it may no longer go on with the stream: it may have said so after
// it was chosen.
func (x *exchange) endWait(t *stallTimer) {
	next := t.stop()
	if next == nil {
		return
	}
	x.releaseSecured()
	x.releaseReturn()
	x.stalled, x.silentTarget, x.silentRan = true, t.target, x.runs > t.runs
	if next.pick.Fits(x.query()) {
		x.secured = next
		return
	}
	next.pick.Done(balancer.Canceled)
	x.f.refund(x.pool.Name, next.counted, retriesOfMove-1)
	x.returnCounted = next.counted
}

// releaseSecured gives back the secured target if it wasn't used.
func (x *exchange) releaseSecured() {
	if x.secured != nil {
		x.f.release(x.secured, x.pool.Name)
		x.secured = nil
	}
}

// releaseReturn takes back the retry for the return to the silent target.
func (x *exchange) releaseReturn() {
	if !x.returnCounted.IsZero() {
		x.f.refund(x.pool.Name, x.returnCounted, 1)
		x.returnCounted = time.Time{}
	}
}

// mayRun reports whether a target may run the request once more: another one, or the
// silent one, which is no further target if it has run the request.
func (x *exchange) mayRun() bool {
	return x.runs < x.route.MaxAttempts || x.silentTarget != "" && x.silentRan
}

// takeRetry takes a retry from the budget. If there is none, the one that is held for
// the return to the silent target remains.
func (x *exchange) takeRetry() bool {
	if x.f.retrier(x.pool.Name).AllowRetry() {
		return true
	}
	x.mustReturn = !x.returnCounted.IsZero()
	return x.mustReturn
}

// takeSecured returns the target that was secured for the next attempt, or nil.
func (x *exchange) takeSecured() *balancer.Pick {
	next := x.secured
	if next == nil {
		return nil
	}
	x.secured, x.returnCounted = nil, next.counted
	return next.pick
}

// nextTarget chooses the target of the next attempt. A stream returns to the target
// that was silent if no other target is left or may get it: that one hasn't failed.
func (x *exchange) nextTarget() (*balancer.Pick, error) {
	if next := x.takeSecured(); next != nil {
		return next, nil
	}
	if x.silentTarget != "" && (x.mustReturn || x.sends >= maxSends || x.runs >= x.route.MaxAttempts) {
		return x.chooseSilent()
	}
	next, err := x.f.cfg.Balancer.Choose(x.query())
	if err != nil && x.silentTarget != "" {
		return x.chooseSilent()
	}
	return next, err
}

// chooseSilent chooses the target that was silent. It can be chosen once.
func (x *exchange) chooseSilent() (*balancer.Pick, error) {
	if x.mustReturn {
		x.mustReturn, x.returnCounted = false, time.Time{} // the retry is made
	}
	x.releaseReturn()
	q := x.query()
	q.Only, q.Exclude, x.silentTarget = x.silentTarget, nil, ""
	return x.f.cfg.Balancer.Choose(q)
}
