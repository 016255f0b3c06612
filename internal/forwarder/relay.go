package forwarder

import (
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
	"github.com/papayapond/papayapond/pkg/route"
)

const (
	// maxAnswer bounds an answer that isn't a stream, in bytes.
	maxAnswer = 16 << 20
	// writeTimeout bounds a write to a caller that doesn't read.
	writeTimeout = 10 * time.Second
	// firstFactor is the number of objectives after which a stream that may be
	// resumed and has not begun is tried at another target.
	firstFactor = 2
	// pauseFactor is the number of pauses after which a stream that may be
	// resumed counts as stalled.
	pauseFactor = 3
	// minSilence bounds both from below.
	minSilence = 700 * time.Millisecond
)

// watch ends an attempt whose target is silent.
type watch struct {
	timer *time.Timer
	pause time.Duration
}

// watch returns a watch for a stream that another target may go on with. For
// other requests only the deadline counts.
func (x *exchange) watch(cancel func()) *watch {
	if x.route.Kind != route.Stream || !x.route.Resume || x.runs+1 >= x.route.MaxAttempts {
		return &watch{}
	}
	first := max(firstFactor*x.route.FirstByteObjective, minSilence)
	if x.started {
		first = max(first, pauseFactor*x.route.EventGapObjective)
	}
	return &watch{timer: time.AfterFunc(first, cancel), pause: max(pauseFactor*x.route.EventGapObjective, minSilence)}
}

// progress starts the time anew.
func (t *watch) progress() {
	if t.timer != nil {
		t.timer.Reset(t.pause)
	}
}

func (t *watch) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// relay passes the answer of a target on.
func (x *exchange) relay(ctx context.Context, a *exchanger.Response, pick *balancer.Pick, t *watch) (verdict, balancer.Outcome, error) {
	if a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices && a.Header.Get(x.f.cfg.Headers.Signature) == "" {
		a.Close(false)
		return broken, balancer.Failed, eris.Wrapf(fault.Malformed, "answer with status %d has no signature", a.Status)
	}
	if isStream(a.Header) && a.Status == http.StatusOK {
		return x.stream(a, pick, t)
	}
	body, err := x.readAll(a)
	a.Close(err == nil)
	if err != nil {
		return x.unless(broken), balancer.ConnectionLost, eris.Wrap(err, "answer breaks off")
	}
	if x.started {
		return broken, balancer.Failed, eris.Wrapf(fault.Interrupted, "status %d instead of the rest of a stream", a.Status)
	}
	pick.MarkPrefilled()
	o := balancer.Served
	if a.Status >= http.StatusInternalServerError {
		o = balancer.Failed
		if x.route.Repeatable() && x.runs < x.route.MaxAttempts && x.deadline.Sub(x.f.cfg.Now()) > minLeft && x.f.retrier(x.pool.Name).AllowRetry() {
			return x.repeat(ctx, a, body, pick)
		}
	}
	x.reply(a, body)
	return answered, o, nil
}

// repeat sends a request that a target has answered with an error to another
// one, and relays the error if that one doesn't do better.
func (x *exchange) repeat(ctx context.Context, a *exchanger.Response, body []byte, pick *balancer.Pick) (verdict, balancer.Outcome, error) {
	x.avoid[pick.ID()] = true
	next, err := x.f.cfg.Balancer.Choose(x.query())
	if err == nil {
		x.f.cfg.Logger.Info("Request is sent again after an error.", zap.String("request", x.id()),
			zap.String("target", pick.ID()), zap.Int("status", a.Status), zap.String("next", next.ID()))
		var v verdict
		if v, err = x.attempt(ctx, next); v == answered || v == gone {
			return v, balancer.Failed, err
		}
	}
	if x.started {
		return failed, balancer.Failed, err
	}
	x.reply(a, body)
	return answered, balancer.Failed, nil
}

// readAll reads an answer that isn't a stream.
func (x *exchange) readAll(a *exchanger.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	x.f.cfg.CountBytes(len(body)+headerBytes, len(body)+headerBytes)
	if err == nil && len(body) > maxAnswer {
		err = eris.Wrapf(fault.Malformed, "answer is longer than %d bytes", maxAnswer)
	}
	return body, err
}

// reply sends a whole answer.
func (x *exchange) reply(a *exchanger.Response, body []byte) {
	x.head(a.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(a.Status)
	x.first = x.f.cfg.Now()
	if _, err := x.w.Write(body); err != nil {
		x.note("left", zap.Error(err))
		return
	}
	x.status = a.Status
	x.note("answered")
}

// head copies the headers of a target.
func (x *exchange) head(h http.Header) {
	for name, values := range strip(h) {
		x.w.Header()[name] = values
	}
	if x.f.cfg.CloseConnection() {
		x.w.Header().Set("Connection", "close")
	}
}

// stream relays events as they arrive.
func (x *exchange) stream(a *exchanger.Response, pick *balancer.Pick, t *watch) (verdict, balancer.Outcome, error) {
	s := streamer.New(a.Body)
	out := http.NewResponseController(x.w)
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			a.Close(true)
			x.begin(a.Header)
			x.note("answered")
			return answered, balancer.Served, nil
		}
		if err != nil {
			a.Close(false)
			if a.IsNotStarted(err) && s.IsEmpty() {
				x.runs--
				return x.unless(refused), balancer.ConnectionLost, err
			}
			return x.unless(broken), balancer.ConnectionLost, err
		}
		pick.MarkPrefilled()
		t.progress()
		x.begin(a.Header)
		_ = out.SetWriteDeadline(x.f.cfg.Now().Add(writeTimeout)) // not all writers have one
		_, err = x.w.Write(event)
		if err == nil {
			err = out.Flush()
		}
		if err != nil {
			a.Close(false)
			x.note("left", zap.Error(err))
			return gone, balancer.Canceled, nil
		}
		x.f.cfg.CountBytes(len(event)+eventBytes, len(event)+eventBytes)
		x.events++
		x.last = s.LastEventID()
	}
}

// begin sends the header of a stream before its first event.
func (x *exchange) begin(h http.Header) {
	if x.started {
		return
	}
	x.started, x.first = true, x.f.cfg.Now()
	x.head(h)
	x.status = http.StatusOK
	x.w.WriteHeader(http.StatusOK)
}

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// retrySpread is the part of a delay by which callers are spread, so that they
// don't return together.
const retrySpread = 0.5

// refuse sends an answer of this instance.
func (x *exchange) refuse(status int, delay time.Duration, why string) {
	h := x.w.Header()
	if delay > 0 {
		seconds := delay.Seconds() * (1 + retrySpread*rand.Float64())
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 2, 64))
	}
	if id := x.id(); id != "" {
		h.Set(x.f.cfg.Headers.Attempt, id)
	}
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
	x.status = status
	x.note("refused", zap.String("reason", why))
}

// id identifies the request in the log.
func (x *exchange) id() string { return x.r.Header.Get(x.f.cfg.Headers.Attempt) }

// note logs and reports the end of the request.
func (x *exchange) note(outcome string, fields ...zap.Field) {
	now := x.f.cfg.Now()
	report := Report{Route: x.route.Name, Outcome: outcome, Status: x.status, Duration: now.Sub(x.arrived), Attempts: x.sends}
	if !x.first.IsZero() {
		report.FirstByte = x.first.Sub(x.arrived)
	}
	x.f.cfg.Observe(report)
	version := uint64(0)
	if x.rules != nil {
		version = x.rules.Version()
	}
	level := zap.InfoLevel
	if outcome != "answered" && outcome != "left" {
		level = zap.WarnLevel // of these no line is left out while ordinary ones are written
	}
	x.f.cfg.Logger.Log(level, "Request ended.", append([]zap.Field{
		zap.String("request", x.id()), zap.String("outcome", outcome), zap.Int("status", x.status), zap.String("route", x.route.Name), zap.String("account", x.account.Name),
		zap.Uint64("ruleset", version), zap.Int("sends", x.sends), zap.Int("runs", x.runs), zap.Int("events", x.events), zap.Int64("cost", x.cost()), zap.Duration("waited", x.waited),
		zap.Duration("first", report.FirstByte), zap.Duration("duration", report.Duration),
	}, append(x.choice, fields...)...)...)
}
