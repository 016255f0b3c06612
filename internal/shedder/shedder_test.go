package shedder_test

import (
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/shedder"
)

const capacity = 1_250_000 // bytes per second, 10 Mbit/s

// newShedder returns a shedder and a function that advances its clock while
// traffic flows at a share of the capacity.
func newShedder(capacity float64) (s *shedder.Shedder, pass func(d time.Duration, share float64)) {
	now := time.Unix(1000, 0)
	n := 0
	s = shedder.New(shedder.Config{Capacity: capacity, Now: func() time.Time { return now }, Random: func() float64 {
		n++
		return float64(n%2) * 0.9
	}})
	return s, func(d time.Duration, share float64) {
		const step = 10 * time.Millisecond
		for range d / step {
			now = now.Add(step)
			s.CountBytes(int(share*capacity*step.Seconds()), 0)
		}
	}
}

// One busy caller must not saturate the link of its instance while others are
// idle. The instance must first stop receiving new connections, then close some
// of the existing ones, and accept callers again when the load drops.
func TestBusyCaller(t *testing.T) {
	s, pass := newShedder(capacity)
	pass(5*time.Second, 0.3)
	if s.IsSaturated() {
		t.Error("at 30% of the link: got saturated")
	}
	pass(2*time.Second, 0.9)
	if !s.IsSaturated() {
		t.Error("at 90% of the link: got not saturated")
	}
	for range 2 {
		if s.ShouldClose() {
			t.Error("connection closed before the load balancer could notice")
		}
	}
	pass(2*time.Second, 0.9)
	closed := 0
	for range 10 {
		if s.ShouldClose() {
			closed++
		}
	}
	if closed != 5 {
		t.Errorf("got %d of 10 connections closed, want 5", closed)
	}
	pass(3*time.Second, 0.2)
	if s.IsSaturated() || s.ShouldClose() {
		t.Error("at 20% of the link: got saturated")
	}
}

// An instance must accept callers again even if its load does not drop, since
// all instances may be equally busy.
func TestSustainedLoad(t *testing.T) {
	s, pass := newShedder(capacity)
	full, all := 0, 0
	for range 600 {
		pass(100*time.Millisecond, 1.2)
		all++
		if s.IsSaturated() {
			full++
		}
	}
	if share := float64(full) / float64(all); share > 0.5 || share == 0 {
		t.Errorf("got saturated %.0f%% of the time, want more than 0%% and at most 50%%", 100*share)
	}
}

// Without a capacity limit, no load is shed.
func TestUnlimited(t *testing.T) {
	s, pass := newShedder(0)
	pass(10*time.Second, 100)
	s.CountBytes(1<<40, 1<<40)
	if s.IsSaturated() || s.ShouldClose() {
		t.Error("got saturated, want no limit")
	}
}
