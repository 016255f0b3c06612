package shedder_test

import (
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/shedder"
)

const capacity = 1_250_000 // bytes per second, 10 Mbit/s

// newShedder returns a shedder on a clock that pass moves while traffic flows.
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

// One busy caller must not fill the link of its instance while others are idle:
// the instance stops taking new connections, then closes a part of the kept
// ones, and takes callers again when its load has fallen.
func TestHotCaller(t *testing.T) {
	s, pass := newShedder(capacity)
	pass(5*time.Second, 0.3)
	if s.IsSaturated() {
		t.Error("at 30% of the link: got full")
	}
	pass(2*time.Second, 0.9)
	if !s.IsSaturated() {
		t.Error("at 90% of the link: got not full")
	}
	for range 2 {
		if s.ShouldClose() {
			t.Error("connections are closed before the load balancer has noticed")
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
		t.Errorf("got %d of 10 connections closed, want half of them", closed)
	}
	pass(3*time.Second, 0.2)
	if s.IsSaturated() || s.ShouldClose() {
		t.Error("at 20% of the link: got full")
	}
}

// An instance whose load doesn't fall must come back: all instances may be
// equally busy, and then nobody would take callers.
func TestLastingLoad(t *testing.T) {
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
		t.Errorf("got full in %.0f%% of the time, want some but at most half", 100*share)
	}
}

// Without a limit nothing is sent elsewhere.
func TestUnlimited(t *testing.T) {
	s, pass := newShedder(0)
	pass(10*time.Second, 100)
	s.CountBytes(1<<40, 1<<40)
	if s.IsSaturated() || s.ShouldClose() {
		t.Error("got full, want no limit")
	}
}
