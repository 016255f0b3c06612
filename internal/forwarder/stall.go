package forwarder

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/pkg/route"
)

const (
	// Callers give up a stream after a gap of the longest of minPatience, four
	// latency objectives and eight expected pauses. A stream is moved after half of
	// that, so that another target has the other half to process the prompt.
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// minSilence is the least silence after which a stream is moved. A sound target
	// may be silent for about a second and go on.
	minSilence = 1500 * time.Millisecond
	// recheckInterval is the time between two attempts to find another target for
	// the stream of a silent one.
	recheckInterval = 250 * time.Millisecond
)

// stallTimer moves a resumable stream away from a target that stays silent. It
// cancels the attempt only once another target is chosen and retries are taken from
// the budget; until then the stream waits for its target.
type stallTimer struct {
	x      *exchange
	target string
	runs   int // of the request before the attempt
	limit  time.Duration
	cancel context.CancelFunc
	timer  *time.Timer // nil if the stream can't be moved

	mu       sync.Mutex // not held during calls of other components
	query    balancer.Query
	heard    time.Time    // last event, or the start of the attempt
	waits    int          // number of times that an event was awaited
	waiting  bool         // an event is awaited
	next     *replacement // target that goes on with the stream
	reported bool
}

// silenceLimit returns the silence of a target after which its stream may be moved.
func (x *exchange) silenceLimit() time.Duration {
	patience := max(minPatience, objectivePatience*x.route.FirstByteObjective, gapPatience*x.route.EventGapObjective)
	return max(patience/2, minSilence)
}

// newStallTimer returns an active timer for a stream that another target can
// resume. Other requests are bounded only by their deadline. It must be stopped.
func (x *exchange) newStallTimer(target string, cancel context.CancelFunc) *stallTimer {
	t := &stallTimer{x: x, target: target, runs: x.runs, limit: x.silenceLimit(), cancel: cancel}
	x.heard = x.f.cfg.Now()
	if x.route.Kind == route.Stream && x.route.Resume && x.runs+1 < x.route.MaxAttempts && x.sends+1 < maxSends {
		// A panic in the timer leaves the stream with its target.
		t.timer = time.AfterFunc(t.limit, x.f.cfg.Recoverer.Wrap("stream timer", t.check, zap.String("request", x.requestID()), zap.String("target", target)))
		t.await()
	}
	return t
}

// await starts to wait for an event.
func (t *stallTimer) await() {
	t.x.heard = t.x.f.cfg.Now()
	if t.timer == nil || !t.x.canContinue() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waits == 0 || t.query.Version != t.x.version {
		t.query = t.x.query()
		t.query.Spare, t.query.Exclude = true, maps.Clone(t.query.Exclude)
		t.query.Exclude[t.target] = true
	}
	t.heard, t.waiting = t.x.heard, true
	t.waits++
	t.timer.Reset(t.limit)
}

// pause ends the wait, so that the time in which the caller doesn't read isn't
// taken for a silence of the target. It reports whether the stream is being moved. An
// event that comes then must not be relayed: it could bind the stream to a software
// version that the chosen target doesn't have, or be none to go on after.
func (t *stallTimer) pause() (isMoving bool) {
	if t.timer == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting = false
	t.timer.Stop()
	return t.next != nil
}

// stop ends the timer and returns the target that goes on with the stream, nil if
// the stream isn't moved.
func (t *stallTimer) stop() *replacement {
	if !t.pause() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.next
	t.next = nil
	return next
}

// check moves the stream if its target has been silent for too long.
func (t *stallTimer) check() {
	t.mu.Lock()
	q, waits, silence := t.query, t.waits, t.x.f.cfg.Now().Sub(t.heard)
	due := t.waiting && t.next == nil && silence >= t.limit
	t.mu.Unlock()
	if !due {
		return
	}
	next, denied := t.x.f.secureTarget(q, t.x.route, t.x.deadline)
	t.mu.Lock()
	current := t.waiting && t.waits == waits
	first := !t.reported
	switch {
	case !current:
	case next != nil:
		t.next = next
	default:
		t.reported = true
		t.timer.Reset(recheckInterval)
	}
	t.mu.Unlock()
	switch {
	case !current && next != nil:
		t.x.f.release(next, q.Pool)
	case current && next != nil:
		t.cancel()
	case current && first:
		t.x.f.cfg.Logger.Info("stream waits for its silent target", zap.String("request", t.x.requestID()), zap.String("target", t.target),
			zap.Duration("silence", silence), zap.String("denied", denied))
	}
}

// Values of the log field "ended": what has ended an attempt.
const (
	endedByTarget   = "target"
	endedByCaller   = "caller"
	endedByDeadline = "deadline"
	endedBySilence  = "silence"
	endedByBlock    = "block"
	endedByStop     = "stop" // a planned stop aborted the request
)

// Values of the log field "denied": why a request isn't sent to another target.
const (
	deniedByDeadline = "deadline"
	deniedByRoute    = "route" // the request may run only once
	deniedByAttempts = "attempts"
	deniedByBudget   = "budget" // of retries
	deniedByTargets  = "targets"
	deniedByVersion  = "version" // no target has the software version of the stream
	deniedByBlock    = "block"
	deniedByStop     = "stop" // a planned stop would cut it
)

// endedBy returns what has ended the last attempt. The context is that of the
// request.
func (x *exchange) endedBy(ctx context.Context) string {
	switch {
	case x.r.Context().Err() != nil:
		return endedByCaller
	case x.canceled.Load():
		return endedByBlock
	case x.stalled:
		return endedBySilence
	case isAborted(ctx):
		return endedByStop
	case ctx.Err() != nil:
		return endedByDeadline
	}
	return endedByTarget
}

// silenceField returns the time since the last target has sent an event, or since
// the request was sent to it if there was none.
func (x *exchange) silenceField() zap.Field {
	if x.heard.IsZero() {
		return zap.Skip()
	}
	return zap.Duration("silence", x.f.cfg.Now().Sub(x.heard))
}

// deniedField returns why no other target has got the request.
func (x *exchange) deniedField() zap.Field {
	if x.denied == "" {
		return zap.Skip()
	}
	return zap.String("denied", x.denied)
}
