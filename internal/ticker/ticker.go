package ticker

import (
	"context"
	"time"
)

// Ticker repeats a task.
type Ticker struct {
	// Interval is the time between two calls. It must be greater than 0.
	Interval time.Duration
}

// Run calls the task after each interval until ctx ends. A call that takes
// longer than the interval delays the next one; calls don't overlap.
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
