package admitter

import (
	"time"
)

const (
	// smoothing is the minimum weight of the newest value in a mean.
	smoothing = 0.05
	// A chat is late if it has no first token between lateAfter and stuckAfter
	// after its admission. After that it is stuck, or its response is not a
	// stream. With maxLate late chats, the engines are considered full.
	lateAfter  = 200 * time.Millisecond
	stuckAfter = time.Second
	maxLate    = 2
)

// resource is the state of one model or service.
type resource struct {
	model, service string
	limit          limit
	inFlight       int
	duration       mean // time a request is in flight
	queue          queue
	// burst is the number of requests allowed in flight beyond the share, as of
	// lastStep.
	burst    float64
	lastStep time.Time
	// unstarted holds the requests in flight without a first token.
	unstarted map[*admission]struct{}
	// firstTokens holds the times from admission to the first token, by class.
	firstTokens map[string]*mean
}

// admission is the admission of one request.
type admission struct {
	resource *resource
	class    string
	start    time.Time
}

func newResource(model, service string) *resource {
	return &resource{model: model, service: service, queue: newQueue(), unstarted: map[*admission]struct{}{}, firstTokens: map[string]*mean{}}
}

// step updates the burst allowance: up while requests wait, down while the
// share suffices, and to zero while the engines are full.
func (r *resource) step(now time.Time) {
	size := rampRate * float64(r.limit.share) * min(now.Sub(r.lastStep), maxStep).Seconds()
	r.lastStep = now
	switch {
	case r.isLate(now):
		r.burst = 0
	case r.queue.size > 0:
		r.burst += size
	case r.inFlight < r.limit.share:
		r.burst = max(0, r.burst-size)
	}
	r.burst = min(r.burst, float64(r.limit.value-r.limit.share))
}

// allowed returns the number of requests allowed in flight.
func (r *resource) allowed() int { return r.limit.share + int(r.burst) }

// isLate reports whether chats are late for their first token. This detects
// full engines before their reports show it.
func (r *resource) isLate(now time.Time) bool {
	n := 0
	for adm := range r.unstarted {
		age := now.Sub(adm.start)
		if isStream(adm.class) && age > lateAfter && age < stuckAfter {
			n++
		}
	}
	return n >= maxLate
}

// isStream reports whether responses of a class are usually streams with a
// short time to the first token.
func isStream(class string) bool { return class == "chat" || class == "stream" }

// started records the time to the first token of a request, or to the complete
// response if it is not a stream.
func (r *resource) started(adm *admission, now time.Time) {
	delete(r.unstarted, adm)
	m := r.firstTokens[adm.class]
	if m == nil {
		m = &mean{}
		r.firstTokens[adm.class] = m
	}
	m.add(now.Sub(adm.start))
}

// mean is an exponential moving average of a duration and its mean deviation.
type mean struct {
	n                int
	value, deviation time.Duration
}

func (m *mean) add(d time.Duration) {
	m.n++
	weight := max(smoothing, 1/float64(m.n))
	off := d - m.value
	m.value += time.Duration(weight * float64(off))
	if m.n > 1 {
		m.deviation += time.Duration(weight * float64(off.Abs()-m.deviation))
	}
}

// upperBound returns a duration that is rarely exceeded.
func (m *mean) upperBound() time.Duration { return m.value + 2*m.deviation }
