package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/detector"
	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// answeredEvents is the number of events after which a stream counts as
	// answered: an engine that crashes on a prompt does so when it begins.
	answeredEvents = 2
	// blockedRetryAfter is the retry delay for a request with a blocked content,
	// which stays blocked while such requests come.
	blockedRetryAfter = 30 * time.Second
)

// errBlocked is the reason for rejecting a content that crashes targets.
var errBlocked = eris.Wrap(fault.Crashed, "content has crashed several targets")

// newContent returns what the request may crash targets with. Parts are told apart by
// pool, since engines of other pools may bear them. The last part of a prompt
// belongs to the request alone.
func (x *exchange) newContent() detector.Content {
	c := detector.Content{Digest: x.digest}
	for _, p := range x.parts[:max(len(x.parts)-1, 0)] {
		c.Parts = append(c.Parts, x.pool.Name+"/"+p.ID)
	}
	return c
}

// isBlocked reports whether the request must not be sent to a target.
func (x *exchange) isBlocked() bool {
	x.blockedBy = x.f.detector.Blocked(x.content)
	return x.blockedBy != nil
}

// awaitAnswer registers the request as sent to a target that hasn't answered. If
// its content is blocked meanwhile, cancel is called.
func (x *exchange) awaitAnswer(cancel context.CancelFunc) {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	x.cancel = cancel
	x.f.unanswered[x] = true
}

// endAnswer ends the registration.
func (x *exchange) endAnswer() {
	x.f.mu.Lock()
	defer x.f.mu.Unlock()
	delete(x.f.unanswered, x)
}

// cancelBlocked cancels requests with all of the keys that wait on targets, so that
// they crash no more of them.
func (f *Forwarder) cancelBlocked(keys []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for x := range f.unanswered {
		if !slices.ContainsFunc(keys, func(key string) bool {
			return key != x.content.Digest && !slices.Contains(x.content.Parts, key)
		}) {
			x.canceled.Store(true)
			x.cancel()
		}
	}
}

// recordCrash records that a target ended before it had answered the request. The end of
// a target that is leaving says nothing about what it ran.
func (x *exchange) recordCrash(pick *balancer.Pick) {
	if x.attemptEvents < answeredEvents && !pick.IsLeaving() {
		x.f.detector.RecordCrash(pick.Lifetime(), x.content, x.started)
	}
}

// recordAnswer records that a target has answered the request.
func (x *exchange) recordAnswer() {
	x.f.detector.RecordAnswer(x.content)
	x.endAnswer()
}
