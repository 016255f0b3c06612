package detector

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// clock is a clock that only the test advances.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{time.Unix(1000, 0)} }

func (c *clock) pass(d time.Duration) { c.now = c.now.Add(d) }

func (c *clock) detector() *Detector {
	return New(Config{Now: func() time.Time { return c.now }})
}

// content parses "a b #1": the parts a and b, and the digest 1.
func content(s string) Content {
	parts, digest, _ := strings.Cut(s, "#")
	return Content{Parts: strings.Fields(parts), Digest: "#" + digest}
}

// play plays steps such as "crash t1 a b #1", "began t1 a b #1" (the target had
// begun its answer), "answer a #2" and "wait 1s". Half a second passes after each.
func play(t *testing.T, c *clock, d *Detector, steps ...string) {
	t.Helper()
	for _, step := range steps {
		verb, rest, _ := strings.Cut(step, " ")
		switch verb {
		case "crash", "began":
			target, what, _ := strings.Cut(rest, " ")
			d.RecordCrash(target, content(what), verb == "began")
		case "answer":
			d.RecordAnswer(content(rest))
		case "wait":
			w, err := time.ParseDuration(rest)
			if err != nil {
				t.Fatal(err)
			}
			c.pass(w)
		default:
			t.Fatalf("unknown step %q", step)
		}
		c.pass(500 * time.Millisecond)
	}
}

// A content must be blocked once it has crashed enough targets, whatever else the
// requests hold, and no other content.
func TestBlocked(t *testing.T) {
	for _, test := range []struct {
		name    string
		steps   []string
		refused []string
		passed  []string
	}{
		{
			"part in requests that differ",
			[]string{"began t1 d #1", "began t2 d #2", "began t3 d #3"},
			[]string{"d #4", "x d #5"}, []string{"x #6"},
		},
		{
			"part beside one that other requests have: both until it is answered",
			[]string{"began t1 shop d #1", "began t2 shop d #2", "began t3 shop d #3"},
			[]string{"shop d #4"}, []string{"shop #5", "d #6"},
		},
		{
			"part beside one that was answered later",
			[]string{"began t1 shop d #1", "began t2 shop d #2", "began t3 shop d #3", "answer shop #4"},
			[]string{"shop d #5", "other d #6"}, []string{"shop #7"},
		},
		{
			"part beside one that was answered before",
			[]string{"answer shop #9", "began t1 shop d #1", "began t2 shop d #2", "began t3 shop d #3"},
			[]string{"d #4"}, []string{"shop #5"},
		},
		{
			"repeats of one request, then others",
			[]string{"began t1 shop d #1", "began t2 shop d #1", "began t3 shop d #1", "began t4 shop d #2", "answer shop #4"},
			[]string{"d #3"}, []string{"shop #5"},
		},
		{
			"whole request",
			[]string{"crash t1 #1", "crash t2 #1", "crash t3 #1"},
			[]string{"#1"}, []string{"#2"},
		},
		{
			"request that others send too, answered before",
			[]string{"answer #1", "crash t1 #1", "crash t2 #1", "crash t3 #1"},
			nil, []string{"#1"},
		},
		{
			"requests that waited on the same targets",
			[]string{"began t1 d #1", "crash t1 x #2", "began t2 d #3", "crash t2 x #4", "began t3 d #5", "crash t3 x #6"},
			[]string{"d #7"}, []string{"x #8"},
		},
		{
			"two deadly parts",
			[]string{"began t1 d #1", "began t2 e #2", "began t3 d #3", "began t4 e #4", "began t5 d #5", "began t6 e #6"},
			[]string{"d #7", "e #8"}, []string{"x #9"},
		},
		{
			"two targets only",
			[]string{"began t1 d #1", "began t2 d #2", "began t2 d #3", "began t2 d #4"},
			nil, []string{"d #5"},
		},
		{
			"answered on the way",
			[]string{"crash t1 d #1", "crash t2 d #2", "answer d #3", "crash t3 d #4"},
			nil, []string{"d #5"},
		},
		{
			"crashes that are long ago",
			[]string{"began t1 d #1", "began t2 d #2", "wait 1m", "began t3 d #3"},
			nil, []string{"d #4"},
		},
		{
			"caller that crashes targets with ever new parts",
			[]string{"answer top shop #0", "began t1 top shop a #1", "began t2 top shop b #2", "began t3 top shop c #3", "began t4 top shop d #4", "began t5 top shop e #5"},
			nil, []string{"top shop #6", "top shop f #7"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newClock()
			d := c.detector()
			play(t, c, d, test.steps...)
			for _, s := range test.refused {
				if d.Blocked(content(s)) == nil {
					t.Errorf("%q passes, want it refused", s)
				}
			}
			for _, s := range test.passed {
				if got := d.Blocked(content(s)); got != nil {
					t.Errorf("%q is refused for %v, want it passed", s, got)
				}
			}
		})
	}
}

// Targets that lose their power together must not get the contents blocked that
// wait on several of them.
func TestSimultaneousCrashes(t *testing.T) {
	c := newClock()
	d := c.detector()
	for i := range 6 {
		d.RecordCrash(fmt.Sprint("t", i), content(fmt.Sprint("hot #", i)), false)
		c.pass(5 * time.Millisecond)
	}
	if got := d.Blocked(content("hot #9")); got != nil {
		t.Errorf("refused for %v, want it passed", got)
	}
}

// A block must last while such requests come, and be forgotten after that.
func TestRetention(t *testing.T) {
	c := newClock()
	d := c.detector()
	play(t, c, d, "began t1 d #1", "began t2 d #2", "began t3 d #3", "began t4 d #4")
	for range 3 {
		c.pass(Retention - time.Second)
		if d.Blocked(content("d #5")) == nil {
			t.Fatal("passed while such requests come, want it refused")
		}
	}
	c.pass(Retention + time.Second)
	if got := d.Blocked(content("d #6")); got != nil {
		t.Errorf("refused for %v after %v without such requests, want it passed", got, Retention)
	}
	if got, want := d.Blocks(), 0; got != want {
		t.Errorf("got %d blocks, want %d", got, want)
	}
}

// A content that just reached the limit must get one more try, so that a harmless
// one doesn't stay refused, and no second one. A content that targets had begun to
// answer each time they crashed must get none: it would cost another target.
func TestTrial(t *testing.T) {
	c := newClock()
	d := c.detector()
	play(t, c, d, "crash t1 d #1", "began t2 d #2", "began t3 d #3")
	if d.Blocked(content("d #4")) == nil {
		t.Error("passed right after the crashes, want it refused")
	}
	c.pass(trialDelay)
	if got := d.Blocked(content("d #5")); got != nil {
		t.Errorf("refused for %v after %v, want one try", got, trialDelay)
	}
	if d.Blocked(content("d #6")) == nil {
		t.Error("a second request passed, want it refused")
	}
	d.RecordAnswer(content("d #5"))
	if got := d.Blocked(content("d #7")); got != nil {
		t.Errorf("refused for %v after the trial was answered, want it passed", got)
	}
	play(t, c, d, "crash u1 e #1", "crash u2 e #2", "crash u3 e #3", "crash u4 e #4", "began v1 f #1", "began v2 f #2", "began v3 f #3")
	c.pass(trialDelay)
	if d.Blocked(content("e #5")) == nil {
		t.Error("a content over the limit got a try, want it refused")
	}
	if d.Blocked(content("f #5")) == nil {
		t.Error("a content that was being answered at each crash got a try, want it refused")
	}
}

// A harmless part must get its try though targets had begun to answer at each crash, if
// another part was there at most of them: it was beside a deadly one twice, and its third
// request was on a connection that broke for another reason.
func TestTrialBesideDeadlyPart(t *testing.T) {
	c := newClock()
	d := c.detector()
	play(t, c, d, "began t1 shop d #1", "began t2 shop d #1", "began t3 shop #3")
	if d.Blocked(content("shop #4")) == nil {
		t.Error("passed right after the crashes, want it refused")
	}
	c.pass(trialDelay)
	if got := d.Blocked(content("shop #5")); got != nil {
		t.Errorf("refused for %v after %v, want one try", got, trialDelay)
	}
	play(t, c, d, "answer shop #5", "began t4 x d #6")
	if got := d.Blocked(content("shop #7")); got != nil {
		t.Errorf("refused for %v after the trial was answered, want it passed", got)
	}
	if d.Blocked(content("shop d #8")) == nil {
		t.Error("the deadly part passed, want it refused")
	}
}

// New blocks must be told once, so that waiting requests can be stopped.
func TestOnBlock(t *testing.T) {
	c := newClock()
	var got []string
	d := New(Config{Now: func() time.Time { return c.now }, OnBlock: func(keys []string) { got = append(got, strings.Join(keys, " ")) }})
	play(t, c, d, "answer shop #0", "began t1 shop d #1", "began t2 shop d #2", "began t3 shop d #3", "began t4 shop d #4")
	if want := []string{"d"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// exchange plays one call from an entry instance to a leader.
func exchange(s *Session, leader *Detector) {
	q := s.Request()
	s.Apply(q, leader.Answer(q))
}

// Crashes that different instances see must add up at all of them through one
// leader, and a new leader must learn what the last one knew.
func TestExchange(t *testing.T) {
	c := newClock()
	leader, next := c.detector(), c.detector()
	var entries []*Detector
	var sessions []*Session
	for range 4 {
		d := c.detector()
		entries, sessions = append(entries, d), append(sessions, d.NewSession())
	}
	round := func(l *Detector) {
		for range 2 {
			for _, s := range sessions {
				exchange(s, l)
			}
			c.pass(200 * time.Millisecond)
		}
	}
	entries[0].RecordAnswer(content("shop #0"))
	for i, d := range entries[:3] {
		d.RecordCrash(fmt.Sprint("t", i), content(fmt.Sprint("shop d #", i)), true)
		round(leader)
	}
	check := func(when string, all []*Detector) {
		t.Helper()
		for i, d := range all {
			if d.Blocked(content("x d #7")) == nil {
				t.Errorf("%s: instance %d passes the part, want it refused", when, i)
			}
			if got := d.Blocked(content("shop #8")); got != nil {
				t.Errorf("%s: instance %d refuses a sound part for %v", when, i, got)
			}
		}
	}
	check("after the crashes", entries)
	round(next)
	late := c.detector()
	exchange(late.NewSession(), next)
	check("after a change of the leader", append(entries, late, next))
}

// Facts must not be sent again and again, and not grow without bound.
func TestBounds(t *testing.T) {
	c := newClock()
	d, leader := c.detector(), c.detector()
	s := d.NewSession()
	for i := range 3 * maxCrashes {
		d.RecordCrash(fmt.Sprint("t", i), content(fmt.Sprintf("p%d #%d", i, i)), i%2 == 0)
		d.RecordAnswer(content(fmt.Sprintf("p%d #%d", i, i)))
		d.RecordAnswer(content(fmt.Sprintf("q%d #%d", i, i)))
		c.pass(time.Millisecond)
	}
	q := s.Request()
	if len(q.Crashes) > maxCrashes || len(q.Clearances) > maxCleared || len(q.Blocks) > maxBlocks {
		t.Errorf("got %d crashes, %d clearances, %d blocks", len(q.Crashes), len(q.Clearances), len(q.Blocks))
	}
	for range maxCrashes/maxSent + 1 {
		exchange(s, leader)
	}
	if q := s.Request(); len(q.Crashes)+len(q.Clearances)+len(q.Blocks) > 0 {
		t.Errorf("got %d crashes and %d clearances again", len(q.Crashes), len(q.Clearances))
	}
	for i := range 3 * maxAnswered {
		d.RecordAnswer(content(fmt.Sprintf("r%d #%d", i, i)))
	}
	if got, want := len(d.answered.newer)+len(d.answered.older), 2*maxAnswered; got > want {
		t.Errorf("got %d answered parts, want at most %d", got, want)
	}
}

// A caller that crashes targets with prompts of very many parts, composed so that
// each part is in three crashes beside others, must not occupy the instance: the
// search for blocks would not end, and requests wait for it.
func TestComposedPrompts(t *testing.T) {
	c := newClock()
	d := c.detector()
	begun := time.Now()
	for i := range 120 {
		parts := ""
		for n := range 200 {
			parts += fmt.Sprintf("p%d-%d ", (i+n)%40, n)
		}
		d.RecordCrash(fmt.Sprint("t", i), content(fmt.Sprint(parts, "#", i)), true)
		c.pass(100 * time.Millisecond)
	}
	if took := time.Since(begun); took > 20*time.Second {
		t.Errorf("120 crashes took %v", took)
	}
	if got, want := d.Blocks(), maxBlocks; got > want {
		t.Errorf("got %d blocks, want at most %d", got, want)
	}
	if got, want := len(d.NewSession().Request().Crashes[0].Keys), maxParts+1; got > want {
		t.Errorf("got %d keys of a crash, want at most %d", got, want)
	}
}

// Peers that send no evidence, or broken one, must be borne.
func TestBrokenEvidence(t *testing.T) {
	d := newClock().detector()
	if got := d.Answer(nil); got != nil {
		t.Errorf("got %v for no evidence, want none", got)
	}
	got := d.Answer(&wire.Evidence{
		Peer: 7, Held: 1 << 60, Crashes: []*wire.Crash{{}, {Age: -5, Id: "x", Target: "t"}}, Clearances: []*wire.Clearance{{Age: -1 << 62}},
		Blocks: []*wire.Block{{}, {Keys: []string{"a"}, Idle: 1 << 50}},
	})
	if got.Source != d.id || d.Blocks() != 0 {
		t.Errorf("got source %d and %d blocks, want %d and none", got.Source, d.Blocks(), d.id)
	}
}
