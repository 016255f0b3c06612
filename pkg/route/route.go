package route

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether a request may be repeated.
type Kind string

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Single requests run at most once per attempt of a caller.
	Single Kind = "single"
	// Stream requests are answered by a sequence of events. They run at most
	// once unless the route allows resuming them.
	Stream Kind = "stream"
)

// Share is the share of requests that goes to a pool.
type Share struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Route matches the requests for a host whose path starts with a prefix.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the maximum time from the arrival of a request to the end of
	// its response.
	Timeout time.Duration `json:"timeout"`
	// FirstByteObjective is the objective for the time to the first byte of the
	// response.
	FirstByteObjective time.Duration `json:"objective"`
	// EventGapObjective is the objective for the time between two events; 0 for
	// routes without events.
	EventGapObjective time.Duration `json:"pause"`
	// Priority is the priority of the requests; 0 is the highest.
	Priority int `json:"priority"`
	// MaxAttempts is the maximum number of targets that may run one request.
	MaxAttempts int `json:"attempts"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Resume allows another target to continue a stream.
	Resume bool    `json:"resume"`
	Split  []Share `json:"split"`
}

// Matches reports whether the route matches a path.
func (r Route) Matches(path string) bool { return strings.HasPrefix(path, r.Prefix) }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resume
}

// Base returns the host, in lower case, and the prefix of the route.
func (r Route) Base() string { return strings.ToLower(r.Host) + r.Prefix }

// Uses reports whether the route sends requests to a pool.
func (r Route) Uses(pool string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Pool == pool && s.Weight > 0 })
}

// Pool returns the pool for a fraction in [0, 1), according to the weights of
// the split.
func (r Route) Pool(fraction float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	rest := fraction * float64(total)
	for _, s := range r.Split {
		rest -= float64(s.Weight)
		if rest < 0 {
			return s.Pool
		}
	}
	return ""
}

// WithTimeout returns a copy with a different timeout.
func (r Route) WithTimeout(d time.Duration) Route {
	r.Timeout = d
	return r
}

// WithSplit returns a copy with a different split.
func (r Route) WithSplit(shares ...Share) Route {
	r.Split = shares
	return r
}
