package counter

import "time"

// Counter estimates a sum over a sliding window from two fixed windows: the
// current one plus the overlapping share of the previous one. The zero value
// with Window set is an empty counter. It is not safe for concurrent use.
type Counter struct {
	// Window is the length of the sliding window. It must be positive and must
	// not change after the first call.
	Window time.Duration

	start    time.Time
	current  int64
	previous int64
}

// Add records an amount at time now.
func (c *Counter) Add(now time.Time, amount int64) {
	c.advance(now)
	c.current += amount
}

// Sum returns the estimate for the window that ends at now.
func (c *Counter) Sum(now time.Time) int64 {
	c.advance(now)
	share := 1 - float64(now.Sub(c.start))/float64(c.Window)
	return c.current + int64(share*float64(c.previous))
}

// advance starts a new fixed window once the current one has elapsed.
func (c *Counter) advance(now time.Time) {
	switch age := now.Sub(c.start); {
	case age < c.Window:
	case age < 2*c.Window:
		c.start = c.start.Add(c.Window)
		c.previous, c.current = c.current, 0
	default:
		c.start = now
		c.previous, c.current = 0, 0
	}
}
