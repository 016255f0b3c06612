package detector

import (
	"fmt"
	"testing"
	"time"
)

// In a storm, instances clear more keys together than each holds. Making room must not
// take a search through all of them for each one, in which the leader of 295 instances
// spent its processor time until the machines lost their power, and what one instance
// drops must not come back from the others.
func TestClearedStorm(t *testing.T) {
	c := newClock()
	leader := c.detector()
	var all []*Detector
	var sessions []*Session
	for range 8 {
		d := c.detector()
		all, sessions = append(all, d), append(sessions, d.NewSession())
	}
	sent := 0
	round := func() {
		for _, s := range sessions {
			q := s.Request()
			reply := leader.Answer(q)
			sent += len(q.Clearances) + len(reply.Clearances)
			s.Apply(q, reply)
		}
		c.pass(200 * time.Millisecond)
	}
	for step := range 60 {
		for i, d := range all {
			for n := range 8 {
				parts := fmt.Sprintf("first%d second%d-%d-%d last%d-%d-%d", n%3, step, i, n, step, i, n)
				d.RecordCrash(fmt.Sprintf("t%d", (step+n)%96), content(fmt.Sprintf("%s #%d-%d-%d", parts, step, i, n)), true)
				d.RecordAnswer(content(fmt.Sprintf("%s #%d-%d-%d", parts, step, i, n)))
			}
		}
		round()
	}
	for range 15 {
		round()
	}
	sent = 0
	for range 5 {
		round()
	}
	if sent > 0 {
		t.Errorf("got %d clearances sent in five rounds without a new one, want none", sent)
	}
	if got, want := leader.sweeps, 60; got > want {
		t.Errorf("got %d searches through all clearances, want at most one for each round", got)
	}
	if got, want := len(leader.cleared), maxCleared; got > want {
		t.Errorf("got %d clearances held, want at most %d", got, want)
	}
}
