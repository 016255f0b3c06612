package ticker

import (
	"context"
	"time"
)

// Ticker runs a task periodically.
type Ticker struct {
	// Interval is the time between two calls. It must be positive.
	Interval time.Duration
}

// Run calls task after each interval until ctx is done. A call that takes longer
// than the interval delays the next one; calls don't overlap.
func (t Ticker) Run(ctx context.Context, task func()) {
	tick := time.NewTicker(t.Interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			task()
		}
	}
}
