package tracker

import (
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a Tracker.
type Config struct {
	// Now returns the current time. It defaults to time.Now.
	Now func() time.Time
}

// Tracker tracks the requests in flight. It is safe for concurrent use. It calls
// no function of another component under its lock.
type Tracker struct {
	now func() time.Time

	mu       sync.Mutex
	requests map[*Request]struct{}
}

// New returns a tracker without requests.
func New(cfg Config) *Tracker {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Tracker{now: cfg.Now, requests: map[*Request]struct{}{}}
}

// Request is a request in flight. End must be called once.
type Request struct {
	t *Tracker
	// deadline is in nanoseconds since 1970; 0 while the request waits for its
	// caller.
	deadline atomic.Int64
}

// Begin adds a request, which waits for its caller until SetDeadline is called.
func (t *Tracker) Begin() *Request {
	r := &Request{t: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r] = struct{}{}
	return r
}

// SetDeadline sets the time at which the request is expected to end.
func (r *Request) SetDeadline(at time.Time) { r.deadline.Store(at.UnixNano()) }

// AwaitCaller excludes the request from Overdue until SetDeadline is called.
func (r *Request) AwaitCaller() { r.deadline.Store(0) }

// End removes the request.
func (r *Request) End() {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	delete(r.t.requests, r)
}

// InFlight returns the number of requests.
func (t *Tracker) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}

// Overdue returns the number of requests past their deadline and the time since
// the earliest of these deadlines.
func (t *Tracker) Overdue() (count int, longest time.Duration) {
	now := t.now().UnixNano()
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.requests {
		if deadline := r.deadline.Load(); deadline > 0 && now > deadline {
			count++
			longest = max(longest, time.Duration(now-deadline))
		}
	}
	return count, longest
}
