package router

import (
	"math"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// sampleTime is the resolution and samples the length of the history of
	// outstanding requests.
	sampleTime = 50 * time.Millisecond
	samples    = 64
	// reportDecay is the time in which the weight of a load report decays to
	// 1/e.
	reportDecay = 500 * time.Millisecond
)

// state is the state of one target as seen by this instance.
type state struct {
	announcement *wire.Target // last processed
	incarnation  uint64
	lastUsed     time.Time
	cache        *cache

	// outstanding counts the requests of this instance, remote those of the
	// other instances at the time of the last report.
	outstanding int
	remote      float64
	reported    time.Time
	lastTurn    int // rotation position when last chosen
	history     [samples]int
	lastSample  int64 // number of the newest sample

	// prefill is the estimated time the target needs, as of prefillAt, to
	// process prompts sent by this instance.
	prefill   time.Duration
	prefillAt time.Time
}

func newState() *state { return &state{cache: newCache()} }

// update processes an announcement. Its load is as old as lag and includes
// requests of this instance, so those outstanding at that time are subtracted.
func (s *state) update(t *wire.Target, now time.Time, lag time.Duration) {
	s.lastUsed = now
	if s.announcement == t {
		return
	}
	if s.incarnation != t.Incarnation {
		s.incarnation = t.Incarnation
		s.cache = newCache()
	}
	s.announcement = t
	s.remote = max(0, float64(t.Running+t.Waiting)-float64(s.outstandingAt(now, now.Add(-lag))))
	s.reported = now
	s.cache.applyEvents(t.Events, now)
}

// estimate computes the load of a candidate. The reported load of the other
// instances decays to the mean of all targets with the age of the report, since
// they know the same reports and have since filled the targets that looked
// idle.
func (c *candidate) estimate(now time.Time, mean float64, lag time.Duration) {
	age := now.Sub(c.reported) + lag
	trust := math.Exp(-age.Seconds() / reportDecay.Seconds())
	c.load = float64(c.outstanding) + mean + (c.remote-mean)*trust
}

// recordSent records a request sent to the target.
func (s *state) recordSent(q *query, cached int, perToken time.Duration) {
	s.adjust(q.now, 1)
	s.prefill = s.backlog(q.now) + time.Duration(q.tokens-cached)*perToken
	s.prefillAt = q.now
	s.cache.addPrompt(q.blocks, q.now)
}

// backlog returns the remaining time the target needs to process prompts.
func (s *state) backlog(now time.Time) time.Duration {
	return max(0, s.prefill-now.Sub(s.prefillAt))
}

// adjust changes the number of outstanding requests.
func (s *state) adjust(now time.Time, change int) {
	s.advance(now)
	s.outstanding += change
	s.history[s.lastSample%samples] = s.outstanding
}

// outstandingAt returns the number of outstanding requests at an earlier time.
func (s *state) outstandingAt(now, at time.Time) int {
	s.advance(now)
	n := at.UnixNano() / int64(sampleTime)
	if n > s.lastSample {
		return s.outstanding
	}
	return s.history[max(n, s.lastSample-samples+1)%samples]
}

// advance appends samples up to now.
func (s *state) advance(now time.Time) {
	n := now.UnixNano() / int64(sampleTime)
	for s.lastSample = max(s.lastSample, n-samples); s.lastSample < n; {
		s.lastSample++
		s.history[s.lastSample%samples] = s.outstanding
	}
}
