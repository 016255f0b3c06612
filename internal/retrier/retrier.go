package retrier

import (
	"sync"
	"time"
)

const (
	// DefaultWindow is the default length of the sliding window.
	DefaultWindow = 10 * time.Second
	// buckets is the number of steps in which the window advances.
	buckets = 10
	// DefaultRatio is the default number of retries per request.
	DefaultRatio = 0.2
	// DefaultMinRetries is the default number of retries per window that are
	// always allowed. It covers the requests in flight on one target that
	// crashes.
	DefaultMinRetries = 32
)

// Config configures a Retrier. Zero values select the defaults.
type Config struct {
	Ratio      float64
	MinRetries int
	// Window is the length of the sliding window in which requests and retries
	// are counted.
	Window time.Duration
	Now    func() time.Time
}

// Retrier is a retry budget. It is safe for concurrent use.
type Retrier struct {
	cfg Config

	mu      sync.Mutex
	current int64 // number of the current bucket
	counts  [buckets]count
	denied  uint64
}

type count struct{ requests, retries int }

// New returns a Retrier without requests.
func New(cfg Config) *Retrier {
	if cfg.Ratio == 0 {
		cfg.Ratio = DefaultRatio
	}
	if cfg.MinRetries == 0 {
		cfg.MinRetries = DefaultMinRetries
	}
	if cfg.Window < buckets { // each bucket takes 1 ns or more
		cfg.Window = DefaultWindow
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Retrier{cfg: cfg}
}

// RecordRequest counts a request.
func (r *Retrier) RecordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentCount().requests++
}

// AllowRetry reports whether the budget allows another retry, and counts it if
// so.
func (r *Retrier) AllowRetry() bool { return r.AllowRetries(1) }

// AllowRetries reports whether the budget allows n more retries, and counts all of
// them if so.
func (r *Retrier) AllowRetries(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := r.currentCount()
	var sum count
	for _, c := range r.counts {
		sum.requests += c.requests
		sum.retries += c.retries
	}
	if sum.retries+n > max(r.cfg.MinRetries, int(r.cfg.Ratio*float64(sum.requests))) {
		r.denied++
		return false
	}
	present.retries += n
	return true
}

// Refund takes back a retry that was counted at a time and wasn't made. One that has
// left the window no longer counts.
func (r *Retrier) Refund(counted time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentCount()
	if r.cfg.Now().Sub(counted) >= r.cfg.Window {
		return
	}
	for i := range int64(buckets) {
		if c := &r.counts[(r.current-i)%buckets]; c.retries > 0 {
			c.retries--
			return
		}
	}
}

// Denied returns the number of denied retries.
func (r *Retrier) Denied() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.denied
}

// currentCount returns the current bucket and clears those that have left the
// window. The caller holds mu.
func (r *Retrier) currentCount() *count {
	now := r.cfg.Now().UnixNano() / int64(r.cfg.Window/buckets)
	for range min(now-r.current, buckets) {
		r.current++
		r.counts[r.current%buckets] = count{}
	}
	if now > r.current {
		r.current = now
		r.counts[now%buckets] = count{}
	}
	return &r.counts[r.current%buckets]
}
