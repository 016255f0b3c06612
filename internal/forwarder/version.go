package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/route"
)

const (
	// traceTimeout bounds the search for the origin of a stream.
	traceTimeout = time.Second
	// traceRetryAfter is the retry delay if the origin isn't found: the record of
	// a stream that has just begun may be on its way to the core instances.
	traceRetryAfter = 500 * time.Millisecond
	// streamLifetimes times the timeout of a route is the longest time from the
	// first event of a stream until a caller takes it up.
	streamLifetimes = 2
	// lastEventHeader names the last event that the caller of a stream has.
	lastEventHeader = "Last-Event-Id"
)

// untraced is the default of Config.Trace.
func untraced(_ context.Context, _, attempt string, _ route.Route, _ time.Duration) (pool, version string, err error) {
	return "", "", eris.Wrapf(fault.Unavailable, "origin of stream %s: no origins are recorded", attempt)
}

// resumes reports whether the caller takes a stream up that has broken off. One that
// names no attempt and asks for what follows 0 has no event.
func (x *exchange) resumes() bool {
	last, attempt := x.r.Header.Get(lastEventHeader), x.r.Header.Get(x.f.cfg.Headers.Resumes)
	return x.route.Kind == route.Stream && x.route.Resume && last != "" && (last != "0" || attempt != "")
}

// originAttempt returns the attempt that brought the first event of the stream:
// the one that a caller names if it takes a stream up, or this one.
func (x *exchange) originAttempt() string {
	if x.resumes() {
		return x.r.Header.Get(x.f.cfg.Headers.Resumes)
	}
	return x.requestID()
}

// traceOrigin binds a stream that the caller takes up to the pool and the
// software version that began it. If they can't be found, it rejects the request
// and returns false, because what two versions write doesn't fit together.
func (x *exchange) traceOrigin() bool {
	if !x.resumes() {
		return true
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(traceTimeout, x.end().Sub(x.f.cfg.Now())))
	defer cancel()
	attempt := x.originAttempt()
	begun := x.f.cfg.Now()
	name, version, err := x.f.cfg.Trace(ctx, x.account.Name, attempt, x.route, streamLifetimes*x.route.Timeout)
	x.f.cfg.Logger.Info("stream taken up", zap.String("request", x.requestID()), zap.String("origin", attempt), zap.String("pool", name),
		zap.String("software", version), zap.Duration("waited", x.f.cfg.Now().Sub(begun)), zap.Error(err))
	if err != nil {
		x.reject(http.StatusServiceUnavailable, traceRetryAfter, err.Error())
		return false
	}
	if !x.usePool(name) {
		x.reject(http.StatusServiceUnavailable, 0, "the route no longer leads to the pool that began the stream")
		return false
	}
	x.version = &version
	return true
}

// usePool sets the pool if the route leads to it.
func (x *exchange) usePool(name string) bool {
	if name == x.pool.Name {
		return true
	}
	p, ok := x.rules.Pool(name)
	if !ok || !x.route.Uses(name) {
		return false
	}
	x.pool = p
	x.content = x.newContent()
	return true
}

// bindVersion binds a stream to the software version of the target whose event
// is its first, and records it for a caller that takes the stream up elsewhere.
func (x *exchange) bindVersion(pick *balancer.Pick) {
	if x.version != nil {
		return
	}
	version := pick.Version()
	x.version = &version
	if x.route.Resume && x.requestID() != "" {
		x.f.cfg.Record(x.account.Name, x.requestID(), x.pool.Name, version)
	}
}
