package forwarder

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/streamer"
)

const (
	// maxResponseBytes limits a response that is not a stream.
	maxResponseBytes = 16 << 20
	// writeTimeout bounds a write to a caller that does not read.
	writeTimeout = 10 * time.Second
)

// relay forwards a target's response to the caller.
func (x *exchange) relay(ctx context.Context, a *exchanger.Response, pick *balancer.Pick, t *stallTimer) (attemptResult, balancer.Outcome, error) {
	if a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices && a.Header.Get(x.f.cfg.Headers.Signature) == "" {
		a.Close(false)
		return connectionLost, balancer.Failed, eris.Wrapf(fault.Malformed, "response with status %d has no signature", a.Status)
	}
	if err := x.checkPromise(a); err != nil {
		a.Close(false)
		return connectionLost, balancer.Failed, err
	}
	if isStream(a.Header) && a.Status == http.StatusOK {
		return x.relayStream(a, pick, t)
	}
	if x.headerSent {
		a.Close(false) // the body may not end
		return connectionLost, balancer.Failed, eris.Wrapf(fault.Interrupted, "got status %d, want the rest of the stream", a.Status)
	}
	body, err := x.readAll(a)
	if err == nil {
		err = checkEnd(a, body)
	}
	t.pause()
	if errors.Is(err, errNoRoom) {
		return x.passOn(a, body, pick)
	}
	a.Close(err == nil)
	if err != nil {
		return x.unlessCanceled(connectionLost), balancer.ConnectionLost, eris.Wrap(err, "response was truncated")
	}
	pick.MarkPrefilled()
	o := balancer.Served
	x.recordAnswer()
	if a.Status >= http.StatusInternalServerError {
		o = balancer.Failed
		if x.mayRetryError() {
			return x.retryAfterError(ctx, a, body, pick)
		}
	}
	x.sendResponse(a, body)
	return answered, o, nil
}

// mayRetryError reports whether a request that failed with a server error may be sent
// to another target, and takes a retry from the budget.
func (x *exchange) mayRetryError() bool {
	return x.route.Repeatable() && x.mayRun() &&
		x.deadline.Sub(x.f.cfg.Now()) > minTimeLeft && x.takeRetry()
}

// retryAfterError retries a request that failed with a server error on another
// target, or on the one that was silent before. It relays the original error if the retry fails.
func (x *exchange) retryAfterError(ctx context.Context, a *exchanger.Response, body []byte, pick *balancer.Pick) (attemptResult, balancer.Outcome, error) {
	x.tried[pick.ID()] = true
	counted := x.f.cfg.Now()
	next, err := x.nextTarget()
	if err != nil {
		x.f.refund(x.pool.Name, counted, 1)
	}
	var v attemptResult
	for ; next != nil; next = x.nextAfterError(ctx, v) {
		x.f.cfg.Logger.Info("retrying request after target error", zap.String("request", x.requestID()),
			zap.String("target", pick.ID()), zap.Int("status", a.Status), zap.String("next", next.ID()))
		x.tried[next.ID()] = true
		if v, err = x.attempt(ctx, next); v == answered || v == callerGone {
			return v, balancer.Failed, err
		}
	}
	if x.headerSent {
		return failed, balancer.Failed, err
	}
	x.sendResponse(a, body)
	return answered, balancer.Failed, nil
}

// nextAfterError returns the target of the next attempt after a retry of an error has
// failed as well, or nil. It is the one that was secured, or the silent one, which has
// not failed.
func (x *exchange) nextAfterError(ctx context.Context, v attemptResult) *balancer.Pick {
	hasNext := x.secured != nil || x.silentTarget != "" && !x.headerSent
	if !hasNext || !x.mayRetry(ctx, v) {
		return nil
	}
	if next := x.takeSecured(); next != nil {
		return next
	}
	next, err := x.chooseSilent()
	if err != nil {
		return nil
	}
	return next
}

// sendResponse sends a complete response to the caller.
func (x *exchange) sendResponse(a *exchanger.Response, body []byte) {
	x.copyHeaders(a.Header)
	x.frame(a, len(body))
	x.headerSent, x.firstByte = true, x.f.cfg.Now()
	x.w.WriteHeader(a.Status)
	x.tracked.AwaitCaller()
	if _, err := x.w.Write(body); err != nil {
		x.finish("left", zap.Error(err))
		return
	}
	x.status = a.Status
	x.finish("answered")
}

// copyHeaders copies the response headers of a target.
func (x *exchange) copyHeaders(h http.Header) {
	for name, values := range withoutHopHeaders(h) {
		x.w.Header()[name] = values
	}
	x.closeConnection()
}

// closeConnection tells the caller in the response that its connection is closed
// after it, if that is due. A server that closes without telling loses requests that
// the caller has sent meanwhile.
func (x *exchange) closeConnection() {
	if x.f.cfg.CloseConnection() {
		x.w.Header().Set("Connection", "close")
	}
}

// relayStream relays events as they arrive.
func (x *exchange) relayStream(a *exchanger.Response, pick *balancer.Pick, t *stallTimer) (attemptResult, balancer.Outcome, error) {
	s := streamer.New(a.Body).WithHold(x.holdEvent)
	defer x.endEvent()
	hasContent := false
	x.beginSequence()
	out := http.NewResponseController(x.w)
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			err = cmp.Or(checkStreamEnd(a, hasContent), err)
		}
		if errors.Is(err, io.EOF) {
			a.Close(true)
			if x.attemptEvents > 0 {
				x.recordAnswer()
			}
			x.sendHeader(a.Header)
			_ = out.SetWriteDeadline(x.f.cfg.Now().Add(writeTimeout)) // the end of the stream is written later
			x.finish("answered")
			return answered, balancer.Served, nil
		}
		if err != nil {
			a.Close(false)
			return x.unlessCanceled(connectionLost), lossOutcome(err), err
		}
		if t.pause() {
			a.Close(false)
			return x.unlessCanceled(connectionLost), balancer.ConnectionLost, eris.Wrap(fault.Interrupted, "event came after the stream was moved")
		}
		if err := x.sequence.add(s); err != nil {
			a.Close(false)
			return connectionLost, balancer.Failed, err
		}
		hasContent = hasContent || s.HasContent()
		pick.MarkPrefilled()
		x.bindVersion(pick)
		x.sendHeader(a.Header)
		_ = out.SetWriteDeadline(x.f.cfg.Now().Add(writeTimeout)) // not all writers support deadlines
		x.tracked.AwaitCaller()
		_, err = x.w.Write(event)
		if err == nil {
			err = out.Flush()
		}
		x.tracked.SetDeadline(x.deadline)
		if err != nil {
			a.Close(false)
			x.finish("left", zap.Error(err))
			return callerGone, balancer.Canceled, nil
		}
		x.f.cfg.CountBytes(len(event)+eventBytes, len(event)+eventBytes)
		x.endEvent()
		x.events++
		x.releaseReturn() // the target goes on
		if x.attemptEvents++; x.attemptEvents == answeredEvents {
			x.recordAnswer()
		}
		x.lastEventID = x.sequence.last
		t.await()
	}
}

// sendHeader sends the response header before the first event of a stream.
func (x *exchange) sendHeader(h http.Header) {
	if x.headerSent {
		return
	}
	x.copyHeaders(h)
	x.headerSent, x.firstByte, x.status = true, x.f.cfg.Now(), http.StatusOK
	x.w.WriteHeader(http.StatusOK)
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// retryJitter is the fraction of a delay added as random jitter, so that
// callers do not retry in lockstep.
const retryJitter = 0.5

// reject sends an error response generated by this instance.
func (x *exchange) reject(status int, delay time.Duration, why string) {
	h := x.w.Header()
	if delay > 0 {
		seconds := delay.Seconds() * (1 + retryJitter*rand.Float64())
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 2, 64))
	}
	if id := x.requestID(); id != "" {
		h.Set(x.f.cfg.Headers.Attempt, id)
	}
	h.Set("Content-Length", "0")
	x.closeConnection()
	x.w.WriteHeader(status)
	x.status = status
	x.finish("refused", zap.String("reason", why))
}

// requestID returns the caller's attempt ID for the log.
func (x *exchange) requestID() string { return x.r.Header.Get(x.f.cfg.Headers.Attempt) }

// finish logs and reports the outcome of the request.
func (x *exchange) finish(outcome string, fields ...zap.Field) {
	now := x.f.cfg.Now()
	if abort := x.f.cfg.Abort(); outcome == "left" && !abort.IsZero() && !now.Before(abort) {
		outcome = "cut" // this instance has closed the connection
	}
	x.outcome = outcome
	report := Report{Route: x.route.Name, Outcome: outcome, Status: x.status, Duration: now.Sub(x.arrived), Attempts: x.sends}
	if !x.firstByte.IsZero() {
		report.FirstByte = x.firstByte.Sub(x.arrived)
	}
	x.f.cfg.Observe(report)
	if outcome != "answered" {
		fields = append(fields, x.silenceField(), x.deniedField())
	}
	if x.limit != "" {
		fields = append(fields, zap.String("limit", x.limit))
	}
	if x.blockedBy != nil {
		fields = append(fields, zap.Strings("blocked", x.blockedBy))
	}
	if !x.deadline.IsZero() {
		fields = append(fields, zap.Duration("allowed", x.deadline.Sub(x.arrived)))
	}
	version := uint64(0)
	if x.rules != nil {
		version = x.rules.Version()
	}
	level := zap.InfoLevel
	if outcome != "answered" && outcome != "left" {
		level = zap.WarnLevel // warnings are never dropped in favor of info entries
	}
	x.f.cfg.Logger.Log(level, "request ended", append([]zap.Field{
		zap.String("request", x.requestID()), zap.String("outcome", outcome), zap.Int("status", x.status), zap.String("route", x.route.Name), zap.String("account", x.account.Name),
		zap.Uint64("ruleset", version), zap.Int("sends", x.sends), zap.Int("runs", x.runs), zap.Int("events", x.events), zap.Strings("parts", x.partIDs()), zap.Int64("cost", x.tokensUsed()), zap.Duration("waited", x.quotaWait),
		zap.Duration("first", report.FirstByte), zap.Duration("duration", report.Duration),
	}, append(x.pickFields, fields...)...)...)
}
