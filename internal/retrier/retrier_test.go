package retrier

import (
	"testing"
	"time"
)

// Retries must stay within their ratio to the requests in the window, and be
// allowed again once the window has passed.
func TestRetryBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{Ratio: 0.1, MinRetries: 3, Now: func() time.Time { return now }})
	allowed := func(n int) int {
		got := 0
		for range n {
			if r.AllowRetry() {
				got++
			}
		}
		return got
	}
	if got, want := allowed(10), 3; got != want {
		t.Errorf("without requests: got %d retries, want the minimum of %d", got, want)
	}
	for range 100 {
		r.RecordRequest()
	}
	if got, want := allowed(100), 7; got != want {
		t.Errorf("after 100 requests: got %d more retries, want %d", got, want)
	}
	now = now.Add(DefaultWindow / 2)
	if got, want := allowed(1), 0; got != want {
		t.Errorf("inside the window: got %d retries, want %d", got, want)
	}
	now = now.Add(DefaultWindow)
	if got, want := allowed(10), 3; got != want {
		t.Errorf("in a new window: got %d retries, want %d", got, want)
	}
}

// A retry that wasn't made must not use up the budget, also if the window has moved on
// meanwhile, and must not add to it after the window.
func TestRefund(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{MinRetries: 1, Now: func() time.Time { return now }})
	if !r.AllowRetry() || r.AllowRetry() {
		t.Fatal("want one retry allowed")
	}
	counted := now
	now = now.Add(DefaultWindow / 2)
	r.Refund(counted)
	r.Refund(counted)
	if !r.AllowRetry() || r.AllowRetry() {
		t.Error("want one retry allowed after it was taken back")
	}
	counted, now = now, now.Add(DefaultWindow)
	if !r.AllowRetry() {
		t.Error("want one retry allowed in a new window")
	}
	r.Refund(counted)
	if r.AllowRetry() {
		t.Error("got a second retry after one of an earlier window was taken back, want none")
	}
}

// Several retries must be allowed and counted together or not at all.
func TestAllowRetries(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{MinRetries: 3, Now: func() time.Time { return now }})
	for i, want := range []bool{true, false} {
		if got := r.AllowRetries(2); got != want {
			t.Errorf("pair %d: got %v, want %v", i, got, want)
		}
	}
	if !r.AllowRetry() || r.AllowRetry() {
		t.Error("want one retry left after the pairs")
	}
}
