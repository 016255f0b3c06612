package route

import (
	"strings"
	"time"
)

// Kind tells what may be repeated of a request.
type Kind string

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Single requests run at most once for each attempt of a caller.
	Single Kind = "single"
	// Stream requests are answered by a series of events. They run at most
	// once unless the route allows to resume them.
	Stream Kind = "stream"
)

// Share is a part of the requests that goes to a pool.
type Share struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Route takes the requests for a host whose path begins with a prefix.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time from the arrival of a request to the end of
	// its answer.
	Timeout time.Duration `json:"timeout"`
	// FirstByteObjective is the time to the first byte of an answer that callers
	// expect.
	FirstByteObjective time.Duration `json:"objective"`
	// EventGapObjective is the longest pause between two events that callers expect; 0
	// for routes without events.
	EventGapObjective time.Duration `json:"pause"`
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int `json:"priority"`
	// MaxAttempts is the number of targets that may run one request.
	MaxAttempts int `json:"attempts"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Resume allows another target to continue a stream.
	Resume bool    `json:"resume"`
	Split  []Share `json:"split"`
}

// Matches reports whether the route takes requests for a path.
func (r Route) Matches(path string) bool { return strings.HasPrefix(path, r.Prefix) }

// Repeatable reports whether a request may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resume
}

// Pool returns the pool for a number in [0, 1), by the weights of the split.
func (r Route) Pool(at float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := at * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Pool
		}
	}
	return ""
}

// WithTimeout returns the route with another timeout.
func (r Route) WithTimeout(d time.Duration) Route {
	r.Timeout = d
	return r
}

// WithSplit returns the route with other shares.
func (r Route) WithSplit(shares ...Share) Route {
	r.Split = shares
	return r
}
