package balancer

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// restartWindow is the time from the loss of a connection to a target until the list
// names the software version of its next lifetime: it may have started again with
// another one, and its announcement takes that long to arrive.
const restartWindow = time.Second

// Part is a segment of a prompt. The parts of a prompt are in order, from its
// start.
type Part struct {
	ID     string
	Tokens int64
}

// shared returns the tokens of the parts shared with other requests, which are
// all but the last.
func shared(parts []Part) int64 {
	sum := int64(0)
	for _, p := range parts[:max(len(parts)-1, 0)] {
		sum += p.Tokens
	}
	return sum
}

// Query describes a request that needs a target.
type Query struct {
	Pool string
	// Parts are the parts of the prompt; nil for requests without one.
	Parts []Part
	// Tokens is the number of prompt tokens, Output the maximum number of
	// output tokens.
	Tokens, Output int64
	// Retryable requests may probe a target right after its ejection, others some time
	// later.
	Retryable bool
	// Spare requests get only a target that is healthy and has room. They are worth
	// sending only if they are likely to be served at once.
	Spare bool
	// Only, if not empty, is the ID of the only target that may be chosen.
	Only string
	// Exclude holds the IDs of targets that must not be chosen.
	Exclude map[string]bool
	// Version, if not nil, is the software version that the target must have.
	Version *string

	// confirmed is the time up to which the list of targets is known to be complete.
	confirmed time.Time
}

// permits reports whether the query allows a target.
func (q Query) permits(t *target, now time.Time) bool {
	if q.Exclude[t.listing.Id] || q.Only != "" && t.listing.Id != q.Only || t.isLeaving() || t.isResting(now) {
		return false
	}
	return q.Version == nil || t.listing.Version == *q.Version && q.confirmed.Sub(t.lostAt) >= restartWindow
}

// ErrVersionGone is returned if no target has the software version of a query. It
// wraps fault.Unavailable.
var ErrVersionGone = eris.Wrap(fault.Unavailable, "no target has the software version")

// unavailable returns the error for a query that no target of the list can serve.
func (q Query) unavailable(list []*target, now time.Time) error {
	same, resting := 0, 0
	for _, t := range list {
		if t.isResting(now) {
			resting++
		}
		if q.Version != nil && t.listing.Version == *q.Version {
			same++
		}
	}
	switch {
	case q.Version == nil:
		return eris.Wrapf(fault.Unavailable, "no target of pool %s accepts requests, out of %d, %d of which want none for a time", q.Pool, len(list), resting)
	case same == 0:
		return eris.Wrapf(ErrVersionGone, "pool %s has no target of version %q, out of %d", q.Pool, *q.Version, len(list))
	}
	return eris.Wrapf(fault.Unavailable, "no target of pool %s with version %q accepts requests, out of %d", q.Pool, *q.Version, same)
}
