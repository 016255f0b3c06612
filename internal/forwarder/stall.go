package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/pkg/route"
)

const (
	// firstEventFactor times the latency objective is the timeout for the first
	// event of a resumable stream.
	firstEventFactor = 2
	// stallFactor times the expected pause is the timeout between events of a
	// resumable stream.
	stallFactor = 3
	// minStallTimeout is the lower bound of both timeouts.
	minStallTimeout = 700 * time.Millisecond
)

// stallTimer cancels an attempt whose target stops sending.
type stallTimer struct {
	timer *time.Timer
	pause time.Duration
	fired atomic.Bool
}

// newStallTimer returns an active timer for a stream that another target can
// resume. Other requests are bounded only by their deadline.
func (x *exchange) newStallTimer(cancel func()) *stallTimer {
	t := &stallTimer{pause: max(stallFactor*x.route.EventGapObjective, minStallTimeout)}
	if x.route.Kind != route.Stream || !x.route.Resume || x.runs+1 >= x.route.MaxAttempts {
		return t
	}
	first := max(firstEventFactor*x.route.FirstByteObjective, minStallTimeout)
	if x.headerSent {
		first = max(first, stallFactor*x.route.EventGapObjective)
	}
	t.timer = time.AfterFunc(first, func() {
		t.fired.Store(true)
		cancel()
	})
	return t
}

// reset restarts the timeout after an event.
func (t *stallTimer) reset() {
	if t.timer != nil {
		t.timer.Reset(t.pause)
	}
}

func (t *stallTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// Values of the log field "ended": what has ended an attempt.
const (
	endedByTarget   = "target"
	endedByCaller   = "caller"
	endedByDeadline = "deadline"
	endedBySilence  = "silence"
	endedByBlock    = "block"
)

// Values of the log field "denied": why a request isn't sent to another target.
const (
	deniedByDeadline = "deadline"
	deniedByRoute    = "route" // the request may run only once
	deniedByAttempts = "attempts"
	deniedByBudget   = "budget" // of retries
	deniedByTargets  = "targets"
	deniedByBlock    = "block"
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
