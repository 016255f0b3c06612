package router

import (
	"math"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// sampleTime and samples give the resolution and the length of the history
	// of outstanding requests.
	sampleTime = 50 * time.Millisecond
	samples    = 64
	// fade is the time in which the trust in a report falls to 1/e.
	fade = 500 * time.Millisecond
)

// state is what this instance knows of one target.
type state struct {
	seen        *wire.Target // the announcement that was taken last
	incarnation uint64
	used        time.Time
	cache       *cache

	// outstanding requests are those of this instance; others are those of the
	// other instances at the time of the last report.
	outstanding int
	others      float64
	learned     time.Time
	turn        int // of the last choice
	history     [samples]int
	latest      int64 // number of the newest sample

	// prefill is the estimated time that the target still needs for prompts
	// that this instance has sent, as of the time at.
	prefill time.Duration
	at      time.Time
}

func newState() *state { return &state{cache: newCache()} }

// learn takes an announcement. Its load is as old as lag and includes requests
// of this instance, so those that were outstanding at that time are taken off.
func (s *state) learn(t *wire.Target, now time.Time, lag time.Duration) {
	s.used = now
	if s.seen == t {
		return
	}
	if s.incarnation != t.Incarnation {
		s.incarnation = t.Incarnation
		s.cache = newCache()
	}
	s.seen = t
	s.others = max(0, float64(t.Running+t.Waiting)-float64(s.past(now, now.Add(-lag))))
	s.learned = now
	s.cache.learn(t.Events, now)
}

// estimate sets the load of a candidate. What is known of the other instances
// fades to the mean of all targets with the age of the report: they know the
// same reports and have since filled the targets that looked idle.
func (c *candidate) estimate(now time.Time, mean float64, lag time.Duration) {
	age := now.Sub(c.learned) + lag
	trust := math.Exp(-age.Seconds() / fade.Seconds())
	c.load = float64(c.outstanding) + mean + (c.others-mean)*trust
}

// send counts a request that is sent to the target.
func (s *state) send(q *question, cached int, perToken time.Duration) {
	s.count(q.now, 1)
	s.prefill = s.backlog(q.now) + time.Duration(q.tokens-cached)*perToken
	s.at = q.now
	s.cache.sent(q.blocks, q.now)
}

// backlog returns the time that the target still needs for prompts.
func (s *state) backlog(now time.Time) time.Duration {
	return max(0, s.prefill-now.Sub(s.at))
}

// count changes the number of outstanding requests.
func (s *state) count(now time.Time, change int) {
	s.move(now)
	s.outstanding += change
	s.history[s.latest%samples] = s.outstanding
}

// past returns the number of outstanding requests at an earlier time.
func (s *state) past(now, at time.Time) int {
	s.move(now)
	n := at.UnixNano() / int64(sampleTime)
	if n > s.latest {
		return s.outstanding
	}
	return s.history[max(n, s.latest-samples+1)%samples]
}

// move appends samples up to the time.
func (s *state) move(now time.Time) {
	n := now.UnixNano() / int64(sampleTime)
	for s.latest = max(s.latest, n-samples); s.latest < n; {
		s.latest++
		s.history[s.latest%samples] = s.outstanding
	}
}
