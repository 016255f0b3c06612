package forwarder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/limiter"
)

const (
	// passBytes is the size of the blocks in which a response is relayed as it comes.
	passBytes = 32 << 10
	// memoryRetryAfter is the time in which a large request is likely to end.
	memoryRetryAfter = 500 * time.Millisecond
)

// errNoRoom is returned if there is no memory to hold more of a response.
var errNoRoom = eris.Wrap(fault.Overloaded, "no memory to hold the response")

// endHold gives back the bytes held for the request.
func (x *exchange) endHold() {
	if x.hold != nil {
		x.hold.End()
	}
}

// receiveBody reads the body of the request. Its bytes are counted before they are held.
func (x *exchange) receiveBody(limit int64) ([]byte, error) {
	x.hold = x.f.cfg.Limiter.Begin(x.account.Name)
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	if x.r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	// A caller that sends slowly would keep others from the bytes that it doesn't use.
	out := http.NewResponseController(x.w)
	_ = out.SetReadDeadline(x.deadline) // not all writers support deadlines
	r := http.MaxBytesReader(x.w, x.r.Body, limit)
	body, err := x.hold.Read(r, x.r.ContentLength, limit, func(n int64) error { return x.hold.Take(x.r.Context(), n) })
	if err == nil {
		_ = out.SetReadDeadline(time.Time{})
	}
	return body, err
}

// rejectBody ends a request whose body wasn't received. The connection can't be used for
// another one, since the rest of the body comes on it.
func (x *exchange) rejectBody(err error) {
	x.w.Header().Set("Connection", "close")
	tooLarge := (*http.MaxBytesError)(nil)
	switch {
	case errors.As(err, &tooLarge):
		x.reject(http.StatusRequestEntityTooLarge, 0, "request body too large")
	case errors.Is(err, limiter.ErrTooLarge):
		x.reject(http.StatusRequestEntityTooLarge, 0, reason(err))
	case fault.Of(err) == fault.Overloaded:
		x.reject(http.StatusServiceUnavailable, memoryRetryAfter, reason(err))
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.reject(http.StatusRequestTimeout, 0, "request body did not arrive before the deadline")
	default:
		x.finish("unread", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// readAll reads a response body that is not a stream. The error is errNoRoom if there
// is no memory for more than the bytes returned.
func (x *exchange) readAll(a *exchanger.Response) ([]byte, error) {
	if a.Length > maxResponseBytes {
		return nil, eris.Wrapf(fault.Malformed, "response of %d bytes exceeds %d bytes", a.Length, maxResponseBytes)
	}
	length := a.Length
	if x.r.Method == http.MethodHead {
		length = 0 // whatever the head says
	}
	body, err := x.hold.Read(a.Body, length, maxResponseBytes, x.tryHold)
	if errors.Is(err, errNoRoom) {
		return body, err
	}
	x.f.cfg.CountBytes(len(body)+headerBytes, len(body)+headerBytes)
	if err == nil && len(body) > maxResponseBytes {
		err = eris.Wrapf(fault.Malformed, "response exceeds %d bytes", maxResponseBytes)
	}
	if err != nil {
		x.hold.Give(int64(cap(body)))
	}
	return body, err
}

// tryHold takes bytes without a wait. The error is errNoRoom.
func (x *exchange) tryHold(n int64) error {
	if !x.hold.TryTake(n) {
		return errNoRoom
	}
	return nil
}

// holdEvent is tryHold for an event.
func (x *exchange) holdEvent(n int64) error {
	err := x.tryHold(n)
	if err == nil {
		x.eventHeld += n
	}
	return err
}

// endEvent gives back the bytes held for an event.
func (x *exchange) endEvent() {
	if x.eventHeld > 0 {
		x.hold.Give(x.eventHeld)
		x.eventHeld = 0
	}
}

// lossOutcome returns the outcome of an attempt whose stream broke off. The target isn't
// to blame for a lack of memory.
func lossOutcome(err error) balancer.Outcome {
	if errors.Is(err, errNoRoom) {
		return balancer.Canceled
	}
	return balancer.ConnectionLost
}

// mayPassOn reports whether a response may be relayed as it comes. An error that another
// target may spare the caller isn't, nor one whose end a caller couldn't tell from a
// loss: without a frame, that of the target can't be told either.
func (x *exchange) mayPassOn(a *exchanger.Response) bool {
	if a.Status >= http.StatusInternalServerError && x.route.Repeatable() {
		return false
	}
	return a.Framed && (a.Length >= 0 || x.r.ProtoAtLeast(1, 1))
}

// passOn relays a response that isn't a stream as it comes, after the part that was read.
// Its length or its chunks tell the caller whether it is complete. A response that may
// not be relayed so ends the attempt.
func (x *exchange) passOn(a *exchanger.Response, body []byte, pick *balancer.Pick) (attemptResult, balancer.Outcome, error) {
	if !x.mayPassOn(a) {
		a.Close(false)
		x.hold.Give(int64(cap(body)))
		return x.unlessCanceled(connectionLost), balancer.Canceled, errNoRoom
	}
	x.f.cfg.Logger.Info("response is relayed before its end for lack of memory", zap.String("request", x.requestID()),
		zap.String("target", pick.ID()), zap.Int("bytes", len(body)), zap.Int64("length", a.Length), zap.Int64("held", x.f.cfg.Limiter.Held()))
	pick.MarkPrefilled()
	x.copyHeaders(a.Header)
	if a.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	held := int64(cap(body))
	x.headerSent, x.passedOn, x.firstByte, x.status = true, true, x.f.cfg.Now(), a.Status
	x.w.WriteHeader(a.Status)
	x.f.cfg.CountBytes(headerBytes, headerBytes)
	block := make([]byte, passBytes)
	for total := len(body); ; {
		x.tracked.AwaitCaller()
		if _, err := x.w.Write(body); err != nil {
			a.Close(false)
			x.finish("left", zap.Error(err))
			return callerGone, balancer.Canceled, nil
		}
		x.f.cfg.CountBytes(len(body), len(body))
		x.hold.Give(held)
		held = 0
		x.tracked.SetDeadline(x.deadline)
		n, err := a.Body.Read(block)
		body, total = block[:n], total+n
		if errors.Is(err, io.EOF) {
			return x.endPassOn(a, body)
		}
		if err == nil && total > maxResponseBytes {
			err = eris.Wrapf(fault.Malformed, "response exceeds %d bytes", maxResponseBytes)
		}
		if err != nil {
			a.Close(false)
			return x.unlessCanceled(connectionLost), balancer.ConnectionLost, eris.Wrap(err, "response was truncated")
		}
	}
}

// endPassOn relays the last part of a response.
func (x *exchange) endPassOn(a *exchanger.Response, body []byte) (attemptResult, balancer.Outcome, error) {
	a.Close(true)
	x.recordAnswer()
	x.tracked.AwaitCaller()
	if _, err := x.w.Write(body); err != nil {
		x.finish("left", zap.Error(err))
		return callerGone, balancer.Canceled, nil
	}
	x.f.cfg.CountBytes(len(body), len(body))
	x.finish("answered")
	return answered, balancer.Served, nil
}
