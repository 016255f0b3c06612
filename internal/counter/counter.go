package counter

import "time"

// Counter estimates the sum of a window that ends now from two fixed windows:
// the current one, and the part of the previous one that overlaps. The zero
// value with Window set is empty. It is not safe for concurrent use.
type Counter struct {
	// Window is the length of the window. It must be greater than 0 and must
	// not change after the first call.
	Window time.Duration

	start    time.Time
	current  int64
	previous int64
}

// Add adds an amount at a time.
func (c *Counter) Add(now time.Time, amount int64) {
	c.roll(now)
	c.current += amount
}

// Sum returns the estimate for the window that ends at a time.
func (c *Counter) Sum(now time.Time) int64 {
	c.roll(now)
	share := 1 - float64(now.Sub(c.start))/float64(c.Window)
	return c.current + int64(share*float64(c.previous))
}

// roll begins a new fixed window when the current one is over.
func (c *Counter) roll(now time.Time) {
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
