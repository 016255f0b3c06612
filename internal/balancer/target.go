package balancer

import (
	"container/list"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// failureWeight is the weight of one answer in the failure rate.
	failureWeight = 0.15
	// failureLimit is the failure rate, beyond that of the pool, from which a
	// target is taken out. Calls of a sound service fail too.
	failureLimit = 0.3
	// breakLimit is the number of broken connections in a row after which a
	// target is taken out.
	breakLimit = 2
	// firstPause and maxPause bound the time for which a target is taken out.
	firstPause = 600 * time.Millisecond
	maxPause   = 6 * time.Second
)

// Outcome is how a request to a target ended.
type Outcome int

// The outcomes.
const (
	// Served requests were answered.
	Served Outcome = iota
	// Refused requests weren't run by the target.
	Refused
	// Failed requests were answered by an error of the target.
	Failed
	// ConnectionLost requests lost their connection.
	ConnectionLost
	// ConnectionFailed requests got no connection, so that no target has seen them.
	ConnectionFailed
	// ConnectTimeout requests got no connection in time, so that no target has seen them.
	ConnectTimeout
	// TimedOut requests got no answer in time.
	TimedOut
	// Canceled requests were given up by the caller.
	Canceled
	// Misdirected requests reached another target at the address.
	Misdirected
)

// outcomes are the names of outcomes in the log.
var outcomes = map[Outcome]string{
	Served: "served", Refused: "refused", Failed: "failed", ConnectionLost: "broken", ConnectionFailed: "unreached", ConnectTimeout: "silent", TimedOut: "late", Canceled: "left",
	Misdirected: "misdirected",
}

// String returns the name for the log.
func (o Outcome) String() string { return outcomes[o] }

// target is the model of one target.
type target struct {
	listing *wire.Listing
	running int   // own requests in flight
	unread  int64 // prompt tokens of those without a first event
	memory  int64 // tokens that those hold
	remote  wire.Load
	parts   map[string]*list.Element // of part, by id
	order   *list.List               // least recently used first
	kept    int64

	failures float64 // rate of failures
	breaks   int     // in a row
	until    time.Time
	pause    time.Duration
	trial    bool // a request tries the target after a pause
	// unreached is set if the last request got no connection.
	unreached bool
	busy      time.Time
}

// part is a part of prompts that a target has read.
type part struct {
	id     string
	tokens int64
}

func newTarget(l *wire.Listing) *target {
	return &target{listing: l, parts: map[string]*list.Element{}, order: list.New()}
}

// cached returns the prompt tokens that the target needn't read.
func (t *target) cached(parts []Part) int64 {
	sum := int64(0)
	for _, p := range parts {
		if t.parts[p.ID] == nil {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// read remembers that the target has read the parts.
func (t *target) read(parts []Part, room int64) {
	for _, p := range parts {
		if e := t.parts[p.ID]; e != nil {
			t.order.MoveToBack(e)
			continue
		}
		t.parts[p.ID] = t.order.PushBack(part{p.ID, p.Tokens})
		t.kept += p.Tokens
	}
	for t.kept > room && t.order.Len() > 0 {
		first := t.order.Front()
		old := t.order.Remove(first).(part)
		t.kept -= old.tokens
		delete(t.parts, old.id)
	}
}

// forget drops what the target has read.
func (t *target) forget() {
	t.parts, t.order, t.kept = map[string]*list.Element{}, list.New(), 0
}

// judge notes how a request ended. The rate is that of the pool.
func (t *target) judge(o Outcome, rate float64, now time.Time) {
	failed := 0.0
	switch o {
	case Canceled:
		return
	case Refused:
		t.busy = now
		return
	case Served:
		t.breaks, t.pause = 0, 0
	case Failed:
		failed = 1
		t.breaks = 0
	case Misdirected:
		t.breaks = breakLimit
	case ConnectionLost, TimedOut, ConnectionFailed, ConnectTimeout:
		failed = 1
		t.breaks++
	}
	t.unreached = o == ConnectionFailed || o == ConnectTimeout
	t.failures += failureWeight * (failed - t.failures)
	if t.breaks >= breakLimit || t.failures > rate+failureLimit {
		t.pause = min(max(2*t.pause, firstPause), maxPause)
		t.until = now.Add(t.pause)
		// What it does after the pause counts more than what it did before.
		t.failures = rate + failureLimit/2
		t.breaks = breakLimit - 1
	}
}
