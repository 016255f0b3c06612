package balancer

import (
	"container/list"
	"strconv"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.15
	// failureMargin is how far the failure rate of a target may exceed that of
	// its pool before the target is ejected. Healthy services have failures
	// too.
	failureMargin = 0.3
	// connectionLossLimit is the number of consecutive connection failures or
	// timeouts after which a target is ejected.
	connectionLossLimit = 2
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = 600 * time.Millisecond
	maxEjection = 6 * time.Second
	// probeTimeout is how long a probe keeps other requests away from its target. A
	// request may take far longer than it takes to see that the target answers.
	probeTimeout = time.Second
	// singleProbeDelay is the time after an ejection from which on requests that may
	// run only once probe the target too. If it is still unsound, the outcome of such a
	// request remains unknown, so that others go first.
	singleProbeDelay = 2 * time.Second
)

// Outcome is the result of a request to a target.
type Outcome int

// Outcomes of a request.
const (
	// Served means that the target answered the request.
	Served Outcome = iota
	// Refused means that the target did not run the request.
	Refused
	// Failed means that the target answered with an error.
	Failed
	// ConnectionLost means that the connection broke.
	ConnectionLost
	// ConnectionFailed means that the connection failed, so the target never
	// received the request.
	ConnectionFailed
	// ConnectTimeout means that the connection attempt timed out, so the target
	// never received the request.
	ConnectTimeout
	// TimedOut means that the target did not answer in time.
	TimedOut
	// Canceled means that the caller canceled the request.
	Canceled
	// Misdirected means that another target answered at the address.
	Misdirected
)

// outcomeNames holds the names used in the log.
var outcomeNames = map[Outcome]string{
	Served: "served", Refused: "refused", Failed: "failed", ConnectionLost: "broken", ConnectionFailed: "unreached", ConnectTimeout: "silent", TimedOut: "late", Canceled: "left",
	Misdirected: "misdirected",
}

// String returns the name used in the log.
func (o Outcome) String() string { return outcomeNames[o] }

// target is the state of one target.
type target struct {
	listing        *wire.Listing
	lifetime       string // ID with the start of the lifetime
	running        int    // local requests in flight
	pendingTokens  int64  // prompt tokens of local requests without a first event
	reservedTokens int64  // memory of local requests, in tokens
	remote         wire.Load
	parts          map[string]*list.Element // cached parts, by id
	lru            *list.List               // least recently used first
	cachedTokens   int64

	failureRate      float64 // moving average
	connectionLosses int     // consecutive
	ejectedUntil     time.Time
	ejection         time.Duration
	probes           int       // in flight, without an answer so far
	probedAt         time.Time // time of the last one
	// connectFailed is set if the last request failed to connect.
	connectFailed bool
	busySince     time.Time
	notice        *notice   // nil if the target has said nothing
	lostAt        time.Time // time of the last lost or failed connection
}

// part is a cached prompt part.
type part struct {
	id     string
	tokens int64
}

// isAvailable reports whether a target may get a request. After its ejection, requests
// probe it one at a time until one is served.
func (t *target) isAvailable(now time.Time, q Query) bool {
	switch {
	case now.Before(t.ejectedUntil):
		return false
	case t.ejection == 0:
		return true
	case q.Spare, t.isProbed(now):
		return false
	}
	return q.Retryable || now.Sub(t.ejectedUntil) >= singleProbeDelay
}

// isProbed reports whether a probe is in flight that may soon tell whether the target
// is sound.
func (t *target) isProbed(now time.Time) bool {
	return t.probes > 0 && now.Sub(t.probedAt) < probeTimeout
}

// isLastResort reports whether a target may get a request that no available target can
// get. A request that is likely to get no connection can be sent to another target. One
// that may run only once waits for the end of the ejection otherwise, but not for a probe
// by another request, because the pool may get none that may be repeated.
func (t *target) isLastResort(now time.Time, q Query) bool {
	if t.remote.Silence == 0 && (q.Retryable || t.connectFailed) {
		return true
	}
	return !now.Before(t.ejectedUntil) && !t.isProbed(now)
}

func newTarget(l *wire.Listing) *target {
	return &target{listing: l, lifetime: l.Id + "/" + strconv.FormatInt(l.Born, 10), parts: map[string]*list.Element{}, lru: list.New()}
}

// setRemote sets the load of all other instances.
func (t *target) setRemote(l *wire.Load) {
	t.remote = wire.Load{Running: l.Running, Unread: l.Unread, Memory: l.Memory, Silence: l.Silence}
}

// cached returns the number of leading prompt tokens that are probably cached.
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

// recordPrompt marks the parts as cached and evicts old ones beyond room
// tokens.
func (t *target) recordPrompt(parts []Part, room int64) {
	for _, p := range parts {
		if e := t.parts[p.ID]; e != nil {
			t.lru.MoveToBack(e)
			continue
		}
		t.parts[p.ID] = t.lru.PushBack(part{p.ID, p.Tokens})
		t.cachedTokens += p.Tokens
	}
	for t.cachedTokens > room && t.lru.Len() > 0 {
		first := t.lru.Front()
		old := t.lru.Remove(first).(part)
		t.cachedTokens -= old.tokens
		delete(t.parts, old.id)
	}
}

// clearCache forgets all cached parts.
func (t *target) clearCache() {
	t.parts, t.lru, t.cachedTokens = map[string]*list.Element{}, list.New(), 0
}

// recordOutcome updates the health of the target. The rate is the failure rate
// of its pool.
func (t *target) recordOutcome(o Outcome, rate float64, now time.Time) {
	failed := 0.0
	switch o {
	case Canceled:
		return
	case Refused:
		t.busySince = now
		return
	case Served:
		t.connectionLosses, t.ejection = 0, 0
	case Failed:
		failed = 1
		t.connectionLosses = 0
	case Misdirected:
		t.connectionLosses = connectionLossLimit
	case ConnectionLost, TimedOut, ConnectionFailed, ConnectTimeout:
		failed = 1
		t.connectionLosses++
	}
	if o == ConnectionLost || o == ConnectionFailed {
		t.lostAt = now
	}
	t.connectFailed = o == ConnectionFailed || o == ConnectTimeout
	t.failureRate += failureWeight * (failed - t.failureRate)
	if t.connectionLosses >= connectionLossLimit || t.failureRate > rate+failureMargin {
		t.ejection = min(max(2*t.ejection, minEjection), maxEjection)
		t.ejectedUntil = now.Add(t.ejection)
		// Outcomes after the ejection count more than earlier ones.
		t.failureRate = rate + failureMargin/2
		t.connectionLosses = connectionLossLimit - 1
	}
}
