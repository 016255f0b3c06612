package retrier

import (
	"sync"
	"time"
)

const (
	// DefaultWindow is the default of the time over which requests and retries are
	// compared.
	DefaultWindow = 10 * time.Second
	// buckets are the parts in which the window moves on.
	buckets = 10
	// DefaultRatio is the number of retries per request.
	DefaultRatio = 0.2
	// DefaultMinRetries is the number of retries in a window that are allowed in any
	// case. It covers the requests in flight on one target that dies.
	DefaultMinRetries = 32
)

// Config configures a Retrier. Zero values mean the defaults.
type Config struct {
	Ratio      float64
	MinRetries int
	// Window is the time over which requests and retries are compared.
	Window time.Duration
	Now    func() time.Time
}

// Retrier counts requests and retries. It is safe for concurrent use.
type Retrier struct {
	cfg Config

	mu      sync.Mutex
	at      int64 // number of the present bucket
	counts  [buckets]count
	refused uint64
}

type count struct{ requests, retries int }

// New returns a retrier without requests.
func New(cfg Config) *Retrier {
	if cfg.Ratio == 0 {
		cfg.Ratio = DefaultRatio
	}
	if cfg.MinRetries == 0 {
		cfg.MinRetries = DefaultMinRetries
	}
	if cfg.Window == 0 {
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
	r.present().requests++
}

// AllowRetry reports whether one more retry may be sent, and counts it if so.
func (r *Retrier) AllowRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := r.present()
	var sum count
	for _, c := range r.counts {
		sum.requests += c.requests
		sum.retries += c.retries
	}
	if sum.retries >= max(r.cfg.MinRetries, int(r.cfg.Ratio*float64(sum.requests))) {
		r.refused++
		return false
	}
	present.retries++
	return true
}

// Denied returns the number of retries that were not allowed.
func (r *Retrier) Denied() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused
}

// present returns the bucket of this time and empties those that have left the
// window. The caller holds the lock.
func (r *Retrier) present() *count {
	now := r.cfg.Now().UnixNano() / int64(r.cfg.Window/buckets)
	for range min(now-r.at, buckets) {
		r.at++
		r.counts[r.at%buckets] = count{}
	}
	if now > r.at {
		r.at = now
		r.counts[now%buckets] = count{}
	}
	return &r.counts[r.at%buckets]
}
