package counter

import (
	"testing"
	"time"
)

// If expired amounts stay in the sum, or recent ones are dropped at the end of
// a fixed window, instances draw too much or too little quota.
func TestSum(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		at   time.Duration
		want int64
	}{
		{"start of the window", 0, 100},
		{"end of the window", 9 * time.Second, 100},
		{"middle of the next window", 15 * time.Second, 50},
		{"end of the next window", 19 * time.Second, 10},
		{"two windows later", 20 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := Counter{Window: 10 * time.Second}
			c.Add(start, 60)
			c.Add(start, 40)
			if got := c.Sum(start.Add(test.at)); got < test.want-1 || got > test.want+1 {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
