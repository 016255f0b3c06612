package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// maxSends limits the attempts per request, including those that a target
	// refused. A stream may return to a silent target after them.
	maxSends = 4
	// headerBytes and eventBytes approximate the overhead of a header and of an
	// event on the connection.
	headerBytes = 600
	eventBytes  = 80
	// minTimeLeft is the least remaining time for a retry.
	minTimeLeft = 20 * time.Millisecond
	// busyRetryAfter is the time in which a slot is likely to become free.
	busyRetryAfter = 400 * time.Millisecond
)

// attemptResult classifies an attempt to decide whether to retry.
type attemptResult int

const (
	answered       attemptResult = iota // the response was sent to the caller
	refused                             // the target did not run the request
	notSent                             // the target never received the request
	connectionLost                      // the target may have run the request
	failed                              // the target answered with an error
	callerGone                          // the caller disconnected
)

// resultNames holds the names used in the log.
var resultNames = map[attemptResult]string{
	answered: "answered", refused: "refused", notSent: "unreached", connectionLost: "broken", failed: "failed", callerGone: "left",
}

// String returns the name used in the log.
func (v attemptResult) String() string { return resultNames[v] }

// serve tries targets until the request is answered or may not be retried.
func (x *exchange) serve(ctx context.Context) {
	defer x.releaseReturn()
	defer x.releaseSecured()
	ctx, release := x.withAbort(ctx)
	defer release()
	x.f.retrier(x.pool.Name).RecordRequest()
	x.targetHeader = x.targetHeaders()
	x.tried = map[string]bool{}
	var err error
	for x.sends < maxSends || x.silentTarget != "" {
		if !x.fitsStop() {
			// The stop began, or went on, while the request waited or was refused.
			err, x.denied = errStopping, deniedByStop
			break
		}
		var pick *balancer.Pick
		var chooseErr error
		pick, chooseErr = x.nextTarget()
		if chooseErr != nil {
			if err == nil {
				err = chooseErr
			}
			x.denied = deniedByChoice(chooseErr)
			break
		}
		var v attemptResult
		v, err = x.attempt(ctx, pick)
		x.tried[pick.ID()] = true
		if v == callerGone {
			// net/http would complete the answer if the handler returned.
			panic(http.ErrAbortHandler)
		}
		if v == answered {
			return
		}
		ended, silence := x.endedBy(ctx), x.silenceField()
		retry := x.mayRetry(ctx, v)
		x.f.cfg.Logger.Warn("attempt failed", zap.String("request", x.requestID()), zap.String("target", pick.ID()),
			zap.String("software", pick.Version()), zap.Stringer("verdict", v), zap.Int("runs", x.runs), zap.Int("events", x.events),
			zap.Bool("started", x.started), zap.Strings("parts", x.partIDs()), zap.String("ended", ended), silence, x.deniedField(), zap.Error(err))
		if x.denied == deniedByBlock {
			err = errBlocked
		}
		if !retry {
			break
		}
	}
	x.fail(ctx, err)
}

// query returns the balancer query for the request.
func (x *exchange) query() balancer.Query {
	return balancer.Query{
		Pool: x.pool.Name, Parts: x.parts, Tokens: x.tokens, Output: x.output,
		Retryable: x.route.Repeatable(), Exclude: x.tried, Version: x.version,
	}
}

// mayRetry reports whether the request may be sent to another target, and takes
// a retry from the budget.
func (x *exchange) mayRetry(ctx context.Context, v attemptResult) bool {
	x.denied = x.retryDenied(ctx, v)
	return x.denied == ""
}

// retryDenied returns why the request may not be sent to another target, or "".
func (x *exchange) retryDenied(ctx context.Context, v attemptResult) string {
	mayHaveRun := v != notSent && v != refused
	switch {
	case x.isBlocked():
		return deniedByBlock
	case isAborted(ctx):
		return deniedByStop
	case ctx.Err() != nil, x.deadline.Sub(x.f.cfg.Now()) < minTimeLeft:
		return deniedByDeadline
	case !x.canContinue(), x.passedOn:
		return deniedByRoute
	case x.secured != nil:
		return ""
	case x.silentTarget == "" && x.sends >= maxSends, !x.mayRun():
		return deniedByAttempts
	case mayHaveRun && !x.route.Repeatable():
		return deniedByRoute
	case v == notSent, x.takeRetry():
		return ""
	}
	return deniedByBudget
}

// tokensUsed returns the tokens to charge: the prompt if a target may have
// processed it, plus the relayed events.
func (x *exchange) tokensUsed() int64 {
	if x.runs == x.unstarted {
		return 0
	}
	tokensPerEvent := 1
	if e := x.pool.Engine; e != nil {
		tokensPerEvent = max(e.TokensPerEvent, 1)
	}
	return x.tokens + min(int64(x.events*tokensPerEvent), x.output)
}

// attempt sends the request to one target and relays its response.
func (x *exchange) attempt(requestCtx context.Context, pick *balancer.Pick) (attemptResult, error) {
	ctx, cancel := context.WithCancel(requestCtx)
	defer cancel()
	defer pick.Release()
	x.pickFields = pick.LogFields()
	x.f.cfg.CountBytes(0, len(x.body)+headerBytes)
	x.started, x.stalled, x.attemptEvents = false, false, 0
	x.awaitAnswer(cancel)
	defer x.endAnswer()
	watch := x.newStallTimer(pick.ID(), cancel)
	defer x.endWait(watch)
	sent := x.f.cfg.Now()
	q := x.request(pick)
	x.sending = true
	a, err := x.f.cfg.Exchanger.Send(ctx, q)
	x.sending = false
	if err != nil {
		return x.endSend(ctx, pick, err)
	}
	x.sends++
	x.runs++
	defer a.Close(false) // without effect unless the attempt panics
	x.started = true
	x.recordNotices(a, pick, sent)
	if x.isRefusal(a) {
		x.runs--
		o := balancer.Refused
		if a.Status == http.StatusMisdirectedRequest {
			o = balancer.Misdirected
		}
		a.RecordRefusal()
		x.discard(a, cancel)
		pick.Done(o)
		return refused, eris.Wrapf(fault.Overloaded, "target refused the request with status %d", a.Status)
	}
	v, o, err := x.relay(requestCtx, a, pick, watch)
	if o == balancer.ConnectionLost {
		if o = x.classify(ctx, o); o == balancer.ConnectionLost {
			x.recordCrash(pick)
		}
	}
	pick.Done(o)
	return v, err
}

// endSend ends an attempt that has brought no response.
func (x *exchange) endSend(ctx context.Context, pick *balancer.Pick, err error) (attemptResult, error) {
	x.sends++ // failed connections count towards maxSends
	if fault.Of(err) == fault.Unavailable {
		o := balancer.ConnectionFailed
		if errors.Is(err, exchanger.ErrConnectTimeout) {
			o = balancer.ConnectTimeout
		}
		pick.Done(x.classify(ctx, o))
		return x.unlessCanceled(notSent), err
	}
	x.runs++
	o := x.classify(ctx, balancer.ConnectionLost)
	pick.Done(o)
	switch {
	case errors.Is(err, exchanger.ErrNotStarted) && x.pool.Engine != nil:
		// An engine that has sent nothing has most likely not begun, so that the
		// request costs nothing. It can't be told from one that runs and is silent,
		// so that the request counts as run otherwise.
		x.unstarted++
	case o == balancer.ConnectionLost:
		x.recordCrash(pick)
	}
	return x.unlessCanceled(connectionLost), err
}

// request builds the request for a target.
func (x *exchange) request(pick *balancer.Pick) *exchanger.Request {
	h := x.targetHeader.Clone()
	remaining := x.end().Sub(x.f.cfg.Now())
	h.Set(x.f.cfg.Headers.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	h.Set(x.f.cfg.Headers.Target, pick.ID())
	if x.lastEventID != "" {
		h.Set(lastEventHeader, x.lastEventID)
	}
	return &exchanger.Request{
		Address: pick.Address(), Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		MaxIdle: x.maxIdle(), Hold: x.tryHold,
	}
}

// maxIdleNonRetryable limits the idle time of a connection used for a request
// that can't be retried. Targets may drop idle connections without notice.
const maxIdleNonRetryable = 2 * time.Second

// maxIdle returns the idle timeout of a reused connection; 0 means no
// limit.
func (x *exchange) maxIdle() time.Duration {
	if x.route.Repeatable() {
		return 0
	}
	return maxIdleNonRetryable
}

// classify distinguishes a target failure from a canceled request and an
// expired deadline.
func (x *exchange) classify(ctx context.Context, o balancer.Outcome) balancer.Outcome {
	switch {
	case x.r.Context().Err() != nil, x.canceled.Load(), isAborted(ctx):
		return balancer.Canceled
	case ctx.Err() != nil:
		return balancer.TimedOut
	}
	return o
}

// unlessCanceled returns v, or callerGone if the caller has disconnected.
func (x *exchange) unlessCanceled(v attemptResult) attemptResult {
	if x.r.Context().Err() != nil {
		x.finish("left")
		return callerGone
	}
	return v
}

// fail ends a request that may not be retried.
func (x *exchange) fail(ctx context.Context, err error) {
	switch {
	case x.headerSent:
		x.finish("cut", zap.Error(err))
		panic(http.ErrAbortHandler)
	case x.runs == 0 && (isAborted(ctx) || errors.Is(err, errStopping)):
		x.reject(http.StatusServiceUnavailable, 0, stopReason)
	case x.runs == 0 && errors.Is(err, balancer.ErrVersionGone):
		x.reject(http.StatusServiceUnavailable, 0, reason(err)) // coming back doesn't help
	case x.runs == 0 && x.blockedBy != nil:
		x.reject(http.StatusServiceUnavailable, blockedRetryAfter, reason(err))
	case x.runs == 0 && fault.Of(err) == fault.Overloaded && x.sends == 0:
		x.reject(http.StatusServiceUnavailable, x.f.cfg.Regulator.RetryAfter(x.f.cfg.Balancer.Lifetimes(x.pool.Name)), reason(err))
	case x.runs == 0:
		x.reject(http.StatusServiceUnavailable, x.untilTarget(), reason(err))
	case isAborted(ctx):
		x.reject(http.StatusGatewayTimeout, 0, stopReason+": "+reason(err))
	case ctx.Err() != nil:
		x.reject(http.StatusGatewayTimeout, 0, reason(err))
	default:
		x.reject(http.StatusBadGateway, 0, reason(err))
	}
}

func reason(err error) string {
	if err == nil {
		return "deadline exceeded"
	}
	return err.Error()
}
