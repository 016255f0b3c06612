package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/route"
)

// stopReason is the reason for refusing a request because of a planned stop.
const stopReason = "instance is stopping"

// errStopping ends a request that isn't sent to a target because of a planned stop.
var errStopping = eris.Wrap(fault.Draining, stopReason)

// checkStop rejects a request that a planned stop may cut. Another instance can serve it
// at once.
func (x *exchange) checkStop() bool {
	if x.fitsStop() {
		return true
	}
	x.reject(http.StatusServiceUnavailable, 0, stopReason)
	return false
}

// fitsStop reports whether the request may be sent to a target with regard to a planned
// stop: it must end before the abort time. As long as load balancers send callers, those
// that are refused may have nowhere else to go, and most requests end long before their
// deadline; then only what is to run once must surely end. A request that has run is tried
// as long as there is time: its caller could only begin anew.
func (x *exchange) fitsStop() bool {
	abort := x.f.cfg.Abort()
	if abort.IsZero() || !x.deadline.After(abort) {
		return true
	}
	hasTime := abort.Sub(x.f.cfg.Now()) >= minTimeLeft
	return hasTime && (x.runs > 0 || x.f.cfg.Lenient() && x.route.Kind != route.Single)
}

// end returns the time at which the request ends at the latest, so that no target works
// on for nothing.
func (x *exchange) end() time.Time {
	if abort := x.f.cfg.Abort(); !abort.IsZero() && abort.Before(x.deadline) {
		return abort
	}
	return x.deadline
}

// AbortRequests ends the requests in flight and those that come later. Those of which the
// caller has no part of an answer get one that tells whether they may have run.
func (f *Forwarder) AbortRequests() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.aborted = true
	for _, cancel := range f.abortable {
		cancel(errStopping)
	}
}

// withAbort returns a context that AbortRequests cancels. The function must be called at
// the end of the request.
func (x *exchange) withAbort(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.f.abortable[x] = cancel
	if x.f.aborted {
		cancel(errStopping)
	}
	return ctx, func() {
		cancel(nil)
		x.f.mu.Lock()
		defer x.f.mu.Unlock()
		delete(x.f.abortable, x)
	}
}

// isAborted reports whether AbortRequests has ended the request.
func isAborted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }
