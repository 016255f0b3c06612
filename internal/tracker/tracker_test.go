package tracker_test

import (
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/tracker"
)

// A request that continues past its deadline must be reported, so that a blocked
// instance is noticed. One that waits for its caller must not be: a slow caller
// would take the instance out of service.
func TestOverdue(t *testing.T) {
	start := time.Unix(100, 0)
	for _, c := range []struct {
		name        string
		prepare     func(r *tracker.Request)
		wantCount   int
		wantLongest time.Duration
	}{
		{"reading the body", func(*tracker.Request) {}, 0, 0},
		{"before the deadline", func(r *tracker.Request) { r.SetDeadline(start.Add(time.Minute)) }, 0, 0},
		{"past the deadline", func(r *tracker.Request) { r.SetDeadline(start.Add(2 * time.Second)) }, 1, 8 * time.Second},
		{"writing past the deadline", func(r *tracker.Request) { r.SetDeadline(start); r.AwaitCaller() }, 0, 0},
		{"blocked after writing", func(r *tracker.Request) {
			r.SetDeadline(start)
			r.AwaitCaller()
			r.SetDeadline(start.Add(time.Second))
		}, 1, 9 * time.Second},
		{"ended", func(r *tracker.Request) { r.SetDeadline(start); r.End() }, 0, 0},
	} {
		tr := tracker.New(tracker.Config{Now: func() time.Time { return start.Add(10 * time.Second) }})
		c.prepare(tr.Begin())
		if count, longest := tr.Overdue(); count != c.wantCount || longest != c.wantLongest {
			t.Errorf("%s: got %d overdue by %v, want %d by %v", c.name, count, longest, c.wantCount, c.wantLongest)
		}
	}
}

// Requests must leave the count of those in flight when they end.
func TestInFlight(t *testing.T) {
	tr := tracker.New(tracker.Config{})
	first, second := tr.Begin(), tr.Begin()
	first.End()
	if got, want := tr.InFlight(), 1; got != want {
		t.Errorf("got %d in flight, want %d", got, want)
	}
	second.End()
	if got, want := tr.InFlight(), 0; got != want {
		t.Errorf("got %d in flight, want %d", got, want)
	}
}
