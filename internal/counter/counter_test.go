package counter

import (
	"testing"
	"time"
)

// A sum that keeps old amounts, or drops recent ones at the end of a fixed
// window, makes instances draw too much or too little.
func TestSum(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		at   time.Duration
		want int64
	}{
		{"same time", 0, 100},
		{"end of the window", 9 * time.Second, 100},
		{"half of the next window", 15 * time.Second, 50},
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
