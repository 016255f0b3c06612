package entry

import (
	"context"
	"runtime"
	"time"

	"go.uber.org/zap"
)

const (
	// minStallTimeout is the lower bound of the time past their deadlines after
	// which requests count as blocked. Timers fire late on a busy machine.
	minStallTimeout = time.Second
	// stallCheckInterval is the time between two checks for blocked requests.
	stallCheckInterval = time.Second
	// maxStackBytes limits the stacks that are logged once requests are blocked.
	maxStackBytes = 64 << 10
)

// Overdue returns the time since the earliest deadline of a request in flight, 0
// if none has passed.
func (e *Entry) Overdue() time.Duration {
	_, longest := e.forwarder.Overdue()
	return longest
}

// isBlocked reports whether a request continues past its deadline and the grace
// period.
func (e *Entry) isBlocked() bool {
	return e.Overdue() > max(e.cfg.Grace, minStallTimeout)
}

// watchStalls logs when requests become blocked, with the stacks of all
// goroutines, and when they have ended.
func (e *Entry) watchStalls(ctx context.Context) {
	tick := time.NewTicker(stallCheckInterval)
	defer tick.Stop()
	blocked := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.recoverer.Run("watch requests", func() { blocked = e.checkStalls(blocked) })
		}
	}
}

// checkStalls logs whether requests are blocked, if that has changed, and returns it.
func (e *Entry) checkStalls(before bool) (blocked bool) {
	blocked = e.isBlocked()
	if blocked == before {
		return blocked
	}
	count, longest := e.forwarder.Overdue()
	fields := []zap.Field{zap.Int("overdue", count), zap.Duration("longest", longest), zap.Int("flight", e.InFlight())}
	if !blocked {
		e.cfg.Logger.Info("requests no longer blocked", fields...)
		return blocked
	}
	stacks := make([]byte, maxStackBytes)
	stacks = stacks[:runtime.Stack(stacks, true)]
	e.cfg.Logger.Error("requests blocked past their deadlines", append(fields, zap.ByteString("stacks", stacks))...)
	return blocked
}
