package detector

import (
	"fmt"
	"testing"
	"time"
)

// When many connections break at once, instances know of more crashes together than
// each holds. A crash that one of them drops must not come back from the others: they
// sent the same crashes to each other for a minute, each exchange was evaluated anew, and
// the leader of 295 instances had no time for anything else.
func TestStorm(t *testing.T) {
	c := newClock()
	leader := c.detector()
	var sessions []*Session
	for i := range 8 {
		d := c.detector()
		sessions = append(sessions, d.NewSession())
		for n := range 120 {
			d.RecordCrash(fmt.Sprintf("t%d-%d", i, n), content(fmt.Sprintf("shared%d own%d-%d #%d-%d", n%5, i, n, i, n)), n%2 == 0)
		}
	}
	sent := 0
	round := func() {
		for _, s := range sessions {
			q := s.Request()
			reply := leader.Answer(q)
			sent += len(q.Crashes) + len(reply.Crashes)
			s.Apply(q, reply)
		}
		c.pass(500 * time.Millisecond)
	}
	for range 12 {
		round()
	}
	sent = 0
	for range 4 {
		round()
	}
	if sent > 0 {
		t.Errorf("got %d crashes sent in the last four rounds without a new one, want none", sent)
	}
}

// One exchange must not grow with the storm, or it alone fills the link of a small
// instance; what is left out must follow.
func TestExchangeBound(t *testing.T) {
	c := newClock()
	d, leader := c.detector(), c.detector()
	for n := range maxCrashes {
		d.RecordCrash(fmt.Sprint("t", n), content(fmt.Sprintf("own%d #%d", n, n)), true)
	}
	s := d.NewSession()
	got := 0
	for range maxCrashes/maxSent + 2 {
		q := s.Request()
		if len(q.Crashes) > maxSent {
			t.Errorf("got %d crashes in one exchange, want at most %d", len(q.Crashes), maxSent)
		}
		got += len(q.Crashes)
		s.Apply(q, leader.Answer(q))
	}
	if got != maxCrashes || len(leader.crashes) != maxCrashes {
		t.Errorf("got %d crashes sent and %d held by the leader, want %d", got, len(leader.crashes), maxCrashes)
	}
}

// Evaluating all crashes after each one costs milliseconds when many are held. In a
// storm it must be done now and then only, and a deadly part must still be blocked.
func TestStormEvaluation(t *testing.T) {
	c := newClock()
	d := c.detector()
	for n := range 200 {
		d.RecordCrash(fmt.Sprint("t", n), content(fmt.Sprintf("own%d #%d", n, n)), true)
	}
	before := d.evaluations
	for n := range 100 {
		d.RecordCrash(fmt.Sprint("u", n), content(fmt.Sprintf("deadly #u%d", n)), true)
		c.pass(time.Millisecond)
	}
	if got, want := d.evaluations-before, 2; got > want {
		t.Errorf("got %d evaluations in 100 ms, want at most %d", got, want)
	}
	c.pass(evaluationInterval)
	if d.Blocked(content("deadly #v")) == nil {
		t.Error("the deadly part passes, want it refused")
	}
}
