package holder

import "time"

// demandWindow is the time over which the demand of an account is measured.
const demandWindow = 10 * time.Second

// demand estimates the tokens that were drawn in the last window from the
// current and the previous window, the latter by its overlapping share.
type demand struct {
	window   time.Duration
	start    time.Time
	current  int64
	previous int64
}

func (d *demand) add(now time.Time, amount int64) {
	d.roll(now)
	d.current += amount
}

func (d *demand) sum(now time.Time) int64 {
	d.roll(now)
	share := 1 - float64(now.Sub(d.start))/float64(d.window)
	return d.current + int64(share*float64(d.previous))
}

func (d *demand) roll(now time.Time) {
	switch age := now.Sub(d.start); {
	case age < d.window:
	case age < 2*d.window:
		d.start = d.start.Add(d.window)
		d.previous, d.current = d.current, 0
	default:
		d.start = now
		d.previous, d.current = 0, 0
	}
}
