package admitter

import (
	"time"
)

const (
	// smoothing is the least weight of the newest value in a mean.
	smoothing = 0.05
	// A chat counts as late from lateTime after its admission without a first
	// token up to stuckTime: then it hangs, or its answer comes as a whole.
	// From maxLate late chats on the engines count as full.
	lateTime  = 200 * time.Millisecond
	stuckTime = time.Second
	maxLate   = 2
)

// line is the state of one model or service.
type line struct {
	model, service string
	limit          limit
	flight         int
	hold           mean // time for which a request is in flight
	queue          queue
	// extra is the number of requests that may be in flight beyond the share,
	// as of the time grown.
	extra float64
	grown time.Time
	// begun has the requests in flight without a first token.
	begun map[*place]struct{}
	// starts are the times from admission to the first token, by class.
	starts map[string]*mean
}

// place is the admission of one request.
type place struct {
	line  *line
	class string
	start time.Time
}

func newLine(model, service string) *line {
	return &line{model: model, service: service, queue: newQueue(), begun: map[*place]struct{}{}, starts: map[string]*mean{}}
}

// step moves the allowance beyond the share: up while requests wait, down
// while the share suffices, and to nothing while the engines are full.
func (l *line) step(now time.Time) {
	size := ramp * float64(l.limit.share) * min(now.Sub(l.grown), maxStep).Seconds()
	l.grown = now
	switch {
	case l.isLate(now):
		l.extra = 0
	case l.queue.size > 0:
		l.extra += size
	case l.flight < l.limit.share:
		l.extra = max(0, l.extra-size)
	}
	l.extra = min(l.extra, float64(l.limit.value-l.limit.share))
}

// allowed returns the number of requests that may be in flight.
func (l *line) allowed() int { return l.limit.share + int(l.extra) }

// isLate tells whether some chats have waited long for their first token.
// This shows full engines sooner than their reports.
func (l *line) isLate(now time.Time) bool {
	n := 0
	for p := range l.begun {
		age := now.Sub(p.start)
		if isStream(p.class) && age > lateTime && age < stuckTime {
			n++
		}
	}
	return n >= maxLate
}

// isStream tells whether answers of a class usually are streams with a short
// time to the first token.
func isStream(class string) bool { return class == "chat" || class == "stream" }

// started takes the time to the first token of a request, or of the whole
// answer if that comes as a whole.
func (l *line) started(p *place, now time.Time) {
	delete(l.begun, p)
	m := l.starts[p.class]
	if m == nil {
		m = &mean{}
		l.starts[p.class] = m
	}
	m.add(now.Sub(p.start))
}

// mean is a moving mean of a time and of its deviation.
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

// high returns a value that few times exceed.
func (m *mean) high() time.Duration { return m.value + 2*m.deviation }
