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
	// maxSends bounds the targets that are tried for one request. Those that
	// refuse don't count as runs.
	maxSends = 4
	// headerBytes and eventBytes are the bytes of a header and around an event
	// on a connection, about.
	headerBytes = 600
	eventBytes  = 80
	// minLeft is the time below which a request isn't sent again.
	minLeft = 20 * time.Millisecond
	// fullDelay is the time after which a place is likely to be free again.
	fullDelay = 400 * time.Millisecond
)

// verdict tells what follows after an attempt.
type verdict int

const (
	answered verdict = iota // the caller has its answer
	refused                 // the target didn't run the request
	unsent                  // the target can't have seen the request
	broken                  // the target may have run the request
	failed                  // the target answered with an error
	gone                    // the caller has left
)

// verdicts are the names of verdicts in the log.
var verdicts = map[verdict]string{
	answered: "answered", refused: "refused", unsent: "unreached", broken: "broken", failed: "failed", gone: "left",
}

// String returns the name for the log.
func (v verdict) String() string { return verdicts[v] }

// serve sends the request until it is answered or can't be sent again.
func (x *exchange) serve(ctx context.Context) {
	defer func() { x.reserve.Settle(x.cost()) }()
	x.f.retrier(x.pool.Name).RecordRequest()
	x.header = x.outgoing()
	x.avoid = map[string]bool{}
	var err error
	for x.sends < maxSends {
		var pick *balancer.Pick
		var choice error
		pick, choice = x.f.cfg.Balancer.Choose(x.query())
		if choice != nil {
			if err == nil {
				err = choice
			}
			break
		}
		var v verdict
		v, err = x.attempt(ctx, pick)
		x.avoid[pick.ID()] = true
		if v == answered || v == gone {
			return
		}
		x.f.cfg.Logger.Warn("Attempt failed.", zap.String("request", x.id()), zap.String("target", pick.ID()),
			zap.Stringer("verdict", v), zap.Int("runs", x.runs), zap.Int("events", x.events), zap.Error(err))
		if !x.again(ctx, v) {
			break
		}
	}
	x.fail(ctx, err)
}

// query returns what the choice of a target depends on.
func (x *exchange) query() balancer.Query {
	return balancer.Query{
		Pool: x.pool.Name, Parts: x.parts, Tokens: x.tokens, Output: x.output,
		Retryable: x.route.Repeatable(), Exclude: x.avoid,
	}
}

// again reports whether another target may be tried.
func (x *exchange) again(ctx context.Context, v verdict) bool {
	if ctx.Err() != nil || x.deadline.Sub(x.f.cfg.Now()) < minLeft {
		return false
	}
	switch v {
	case unsent:
		return true
	case refused:
	default:
		if !x.route.Repeatable() || x.runs >= x.route.MaxAttempts {
			return false
		}
	}
	return x.f.retrier(x.pool.Name).AllowRetry()
}

// cost returns what the request has cost, in tokens: the prompt if a target may
// have read it, and the events that were relayed.
func (x *exchange) cost() int64 {
	if x.runs == 0 {
		return 0
	}
	stride := 1
	if e := x.pool.Engine; e != nil {
		stride = max(e.TokensPerEvent, 1)
	}
	return x.tokens + min(int64(x.events*stride), x.output)
}

// attempt sends the request to one target and relays its answer.
func (x *exchange) attempt(whole context.Context, pick *balancer.Pick) (verdict, error) {
	ctx, cancel := context.WithCancel(whole)
	defer cancel()
	x.choice = pick.LogFields()
	x.f.cfg.CountBytes(0, len(x.body)+headerBytes)
	watch := x.watch(cancel)
	defer watch.stop()
	a, err := x.f.cfg.Exchanger.Send(ctx, x.request(pick))
	if err != nil && fault.Of(err) == fault.Unavailable {
		x.sends++ // bounds the attempts, also those that reach no target
		o := balancer.ConnectionFailed
		if errors.Is(err, exchanger.ErrConnectTimeout) {
			o = balancer.ConnectTimeout
		}
		pick.Done(x.outcome(ctx, o))
		return x.unless(unsent), err
	}
	x.sends++
	x.runs++
	if errors.Is(err, exchanger.ErrNotStarted) && x.pool.Engine != nil {
		// An engine begins to run a request with its first event.
		x.runs--
		pick.Done(x.outcome(ctx, balancer.ConnectionLost))
		return x.unless(refused), err
	}
	if err != nil {
		o := x.outcome(ctx, balancer.ConnectionLost)
		pick.Done(o)
		if o == balancer.ConnectionLost {
			x.f.suspect(x.digest, pick.ID())
		}
		return x.unless(broken), err
	}
	if x.isRefusal(a) {
		x.runs--
		o := balancer.Refused
		if a.Status == http.StatusMisdirectedRequest {
			o = balancer.Misdirected
		}
		_, err := x.readAll(a)
		a.Close(err == nil)
		pick.Done(o)
		return refused, eris.Wrapf(fault.Overloaded, "target refused with status %d", a.Status)
	}
	v, o, err := x.relay(whole, a, pick, watch)
	if o == balancer.ConnectionLost {
		if o = x.outcome(ctx, o); o == balancer.ConnectionLost {
			x.f.suspect(x.digest, pick.ID())
		}
	}
	pick.Done(o)
	return v, err
}

// request returns the request to a target.
func (x *exchange) request(pick *balancer.Pick) *exchanger.Request {
	h := x.header.Clone()
	left := x.deadline.Sub(x.f.cfg.Now())
	h.Set(x.f.cfg.Headers.Deadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	h.Set(x.f.cfg.Headers.Target, pick.ID())
	if x.last != "" {
		h.Set("Last-Event-Id", x.last)
	}
	return &exchanger.Request{
		Address: pick.Address(), Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		MaxIdle: x.maxIdle(),
	}
}

// singleIdle is the longest idle time of a connection for a request that can't
// be sent again. Targets may drop idle connections without notice.
const singleIdle = 2 * time.Second

// maxIdle returns the longest idle time of a connection for the request; 0 for
// any.
func (x *exchange) maxIdle() time.Duration {
	if x.route.Repeatable() {
		return 0
	}
	return singleIdle
}

// isRefusal reports whether the target says that it didn't run the request.
func (x *exchange) isRefusal(a *exchanger.Response) bool {
	return a.Header.Get(x.f.cfg.Headers.Refused) != "" || a.Status == http.StatusMisdirectedRequest
}

// outcome tells a target's failure from a caller that has left and from a
// deadline.
func (x *exchange) outcome(ctx context.Context, o balancer.Outcome) balancer.Outcome {
	switch {
	case x.r.Context().Err() != nil:
		return balancer.Canceled
	case ctx.Err() != nil:
		return balancer.TimedOut
	}
	return o
}

// unless returns v, or gone if the caller has left.
func (x *exchange) unless(v verdict) verdict {
	if x.r.Context().Err() != nil {
		x.note("left")
		return gone
	}
	return v
}

// fail answers a request that can't be sent again.
func (x *exchange) fail(ctx context.Context, err error) {
	switch {
	case x.started:
		x.note("cut", zap.Error(err))
		panic(http.ErrAbortHandler)
	case x.runs == 0:
		x.refuse(http.StatusServiceUnavailable, fullDelay, reason(err))
	case ctx.Err() != nil:
		x.refuse(http.StatusGatewayTimeout, 0, reason(err))
	default:
		x.refuse(http.StatusBadGateway, 0, reason(err))
	}
}

func reason(err error) string {
	if err == nil {
		return "the time is up"
	}
	return err.Error()
}
