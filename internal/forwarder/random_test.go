package forwarder_test

import (
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/forwarder"
	"github.com/papayapond/papayapond/pkg/route"
)

var (
	randomSeeds = flag.Int("seeds", 24, "number of seeds that TestRandomTargets plays")
	randomFirst = flag.Int("first", 1, "first seed of TestRandomTargets")
)

const (
	// randomBatch is the number of seeds that are played at the same time.
	randomBatch = 100
	// randomDeadline is the time that callers wait.
	randomDeadline = 4500 * time.Millisecond
	// tolerance is how late a goroutine of the test may run.
	tolerance = 150 * time.Millisecond
	// maxOverlap is how long a request may be at work at two targets.
	maxOverlap = 400 * time.Millisecond
)

// scenario is a set of targets and callers.
type scenario struct {
	Versions   []string // of the targets
	Steps      [][]step // of the targets
	Callers    []caller
	MinRetries int
}

type caller struct {
	Path  string
	Parts string
	Delay time.Duration
}

var scenarios = rapid.Custom(func(t *rapid.T) scenario {
	n := rapid.IntRange(1, 5).Draw(t, "targets")
	s := scenario{MinRetries: rapid.SampledFrom([]int{1, 4, 40}).Draw(t, "retries")}
	for range n {
		s.Versions = append(s.Versions, rapid.SampledFrom([]string{"v1", "v1", "v2"}).Draw(t, "version"))
		s.Steps = append(s.Steps, rapid.SliceOfN(rapid.Custom(drawStep), 1, 4).Draw(t, "steps"))
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "callers") {
		s.Callers = append(s.Callers, caller{
			Path:  rapid.SampledFrom([]string{"/long/", "/long3/", "/long3/", "/long3/", "/plain/", "/any/", "/once/"}).Draw(t, "path"),
			Parts: rapid.SampledFrom([]string{"", fmt.Sprintf("top:2,shop:2,own%d:2", i), fmt.Sprintf("top:2,bad:2,own%d:2", i)}).Draw(t, "parts"),
			Delay: time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond,
		})
	}
	return s
})

// maxAttempts is MaxAttempts of the routes.
var maxAttempts = map[string]int{"/long/": 2, "/long3/": 3, "/plain/": 1, "/any/": 2, "/once/": 1}

// outcome is what a caller has got.
type outcome struct {
	caller
	id           string
	status       int
	signed       bool
	body         string
	err          error
	begun, ended time.Time
}

// trial is a scenario that is played.
type trial struct {
	*testing.T
	seed     int
	scenario scenario
	fixture  *fixture
	targets  []*randomTarget
	outcomes []*outcome
	logs     *observer.ObservedLogs
}

// Targets that are silent, refuse, break off, leave, rest, name limits, crash, or send
// wrong events are handled by parts of the forwarder that were written apart. Whatever
// they do together, callers must get the stream of one version without a gap and a
// true answer whether the request ran, and targets must not get what they don't want.
func TestRandomTargets(t *testing.T) {
	t.Parallel()
	for end := *randomFirst + *randomSeeds; *randomFirst < end; *randomFirst += randomBatch {
		var trials []*trial
		var group sync.WaitGroup
		for seed := *randomFirst; seed < min(*randomFirst+randomBatch, end); seed++ {
			r := newTrial(t, seed)
			trials = append(trials, r)
			group.Go(r.play)
		}
		group.Wait()
		for _, r := range trials {
			t.Run(strconv.Itoa(r.seed), func(t *testing.T) {
				r.T = t
				r.check()
				if t.Failed() {
					r.print()
				}
			})
		}
	}
}

// newTrial starts the targets of the scenario of a seed.
func newTrial(t *testing.T, seed int) *trial {
	r := &trial{T: t, seed: seed, scenario: scenarios.Example(seed)}
	var scripts []handler
	for i, steps := range r.scenario.Steps {
		g := &randomTarget{id: string(rune('a' + i)), version: r.scenario.Versions[i], steps: steps}
		r.targets = append(r.targets, g)
		scripts = append(scripts, g.serve)
	}
	core, logs := observer.New(zap.InfoLevel)
	r.logs = logs
	r.fixture = newFixtureWith(t, func(c *forwarder.Config) { c.MinRetries, c.Logger = float64(r.scenario.MinRetries), zap.New(core) }, scripts...)
	r.fixture.setVersions(r.scenario.Versions...)
	rules := r.fixture.rules
	plain := rules.Routes[0].WithTimeout(10 * time.Second)
	plain.Name, plain.Prefix, plain.Kind, plain.MaxAttempts = "/plain/", "/plain/", route.Stream, 1
	again := plain
	again.Name, again.Prefix, again.Kind, again.MaxAttempts = "/any/", "/any/", route.Idempotent, 2
	rules.Routes = append(slices.Clone(rules.Routes), plain, again)
	r.fixture.setRules(rules)
	return r
}

// play lets all callers send their requests.
func (r *trial) play() {
	var group sync.WaitGroup
	for i, c := range r.scenario.Callers {
		o := &outcome{caller: c, id: fmt.Sprint("id", i)}
		r.outcomes = append(r.outcomes, o)
		group.Go(func() { r.call(o) })
	}
	group.Wait()
}

// call sends one request.
func (r *trial) call(o *outcome) {
	time.Sleep(o.Delay)
	o.begun = time.Now()
	a, body, err := r.fixture.post(o.Path, func(q *http.Request) {
		q.Header.Set(headers.Attempt, o.id)
		q.Header.Set(headers.Usage, "6,6")
		q.Header.Set(headers.Deadline, strconv.FormatInt(randomDeadline.Milliseconds(), 10))
		if o.Parts != "" {
			q.Header.Set(headers.Parts, o.Parts)
		}
	})
	o.status, o.signed, o.body, o.err, o.ended = a.StatusCode, a.Header.Get(headers.Signature) != "", body, err, time.Now()
}

// visitsOf returns the requests of a caller at all targets, in their order.
func (r *trial) visitsOf(id string) []*visit {
	var list []*visit
	for _, g := range r.targets {
		g.mu.Lock()
		for _, v := range g.visits {
			if v.caller == id {
				c := *v
				list = append(list, &c)
			}
		}
		g.mu.Unlock()
	}
	slices.SortFunc(list, func(v, w *visit) int { return v.begun.Compare(w.begun) })
	return list
}

// check checks what must hold in all scenarios.
func (r *trial) check() {
	r.checkIdle()
	sent := 0
	for _, o := range r.outcomes {
		visits := r.visitsOf(o.id)
		sent += max(len(visits)-1, 0)
		r.checkAnswer(o, visits)
		r.checkBody(o)
		r.checkTargets(o, visits)
		r.checkSound(o, visits)
	}
	// The share of the budget that follows the requests is below one retry here.
	if most := max(int(0.8*float64(r.scenario.MinRetries)), 1); sent > most {
		r.Errorf("got %d repeated requests at targets, want at most %d", sent, most)
	}
	for _, g := range r.targets {
		r.checkNotices(g)
	}
}

// checkIdle checks that nothing is in flight once all requests have ended. A target
// that was secured for a stream must have been given back.
func (r *trial) checkIdle() {
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) && (r.fixture.forwarder.InFlight() > 0 || len(r.fixture.balancer.LocalLoads()) > 0) {
		time.Sleep(5 * time.Millisecond)
	}
	if n, loads := r.fixture.forwarder.InFlight(), r.fixture.balancer.LocalLoads(); n > 0 || len(loads) > 0 {
		r.Errorf("got %d requests in flight and loads %v at the end, want none", n, loads)
	}
}

// checkAnswer checks that the caller is told the truth.
func (r *trial) checkAnswer(o *outcome, visits []*visit) {
	ran := slices.ContainsFunc(visits, func(v *visit) bool { return v.ran })
	switch {
	case o.status == http.StatusServiceUnavailable && !o.signed && ran:
		r.Errorf("%s: got status 503, but the request ran", o.id)
	case o.status == http.StatusServiceUnavailable && o.signed && (!strings.HasPrefix(o.Path, "/long") && o.Path != "/any/" || o.body != "busy"):
		r.Errorf("%s: got status 503 and %q of a target for a request that may run once", o.id, o.body)
	case o.status == http.StatusInternalServerError && o.body != "sorry":
		r.Errorf("%s: got status 500 and %q", o.id, o.body)
	case !slices.Contains([]int{0, 200, 500, 502, 503, 504}, o.status):
		r.Errorf("%s: got status %d", o.id, o.status)
	case o.status == 0:
		r.Errorf("%s: got %v, want an answer or a refusal", o.id, o.err)
	}
	if took := o.ended.Sub(o.begun); took > randomDeadline+500*time.Millisecond {
		r.Errorf("%s: got the end after %v", o.id, took)
	}
}

// checkBody checks that the caller has the beginning of the stream of one version.
func (r *trial) checkBody(o *outcome) {
	if o.status != http.StatusOK {
		return
	}
	body, failed := strings.CutSuffix(o.body, errorEvent)
	count := strings.Count(body, "\n\n")
	for _, version := range []string{"v1", "v2"} {
		want := ""
		for i := 1; i <= count; i++ {
			want += randomEvent(o.id, version, i)
		}
		if body == want && (o.err != nil || failed || count == randomEvents) {
			return
		}
	}
	r.Errorf("%s: got %q and %v, want the beginning of one stream, and an error if it isn't whole", o.id, o.body, o.err)
}

// checkTargets checks which targets have got a request, and when.
func (r *trial) checkTargets(o *outcome, visits []*visit) {
	ran, runs := map[string]bool{}, 0
	for i, v := range visits {
		if v.ran {
			ran[v.target] = true
			runs++
		}
		for _, w := range visits[i+1:] {
			overlap := v.ended.Sub(w.begun)
			if v.ended.IsZero() {
				overlap = o.ended.Sub(w.begun)
			}
			if v.target == w.target && overlap > tolerance || overlap > maxOverlap {
				r.Errorf("%s: target %s is still at work for %v after target %s has got the request", o.id, v.target, overlap, w.target)
			}
		}
	}
	if len(ran) > maxAttempts[o.Path] {
		r.Errorf("%s: got runs at %d targets, want at most %d", o.id, len(ran), maxAttempts[o.Path])
	}
	if maxAttempts[o.Path] == 1 && runs > 1 {
		r.Errorf("%s: got %d runs, want one", o.id, runs)
	}
}

// checkNotices checks that a target gets nothing after it has said that it is leaving,
// and while it rests.
func (r *trial) checkNotices(g *randomTarget) {
	for _, v := range g.visits {
		if v.said.IsZero() || !v.canceled.IsZero() {
			continue
		}
		until := v.said
		if v.step.Leaving && v.step.Do != doMisdirect {
			until = until.Add(forever)
		} else if v.step.Do == doRefuse || v.step.Do == doUnmarked {
			d, _ := time.ParseDuration(v.step.Rest + "s") // 0 without one
			until = until.Add(d)
		}
		for _, w := range g.visits {
			if w.begun.After(v.said.Add(tolerance)) && w.begun.Before(until) {
				r.Errorf("target %s: got %s %v after its answer to %s, want none for %v", g.id, w.caller, w.begun.Sub(v.said), v.caller, until.Sub(v.said))
			}
		}
	}
}

// checkSound checks that a stream isn't ended though a silent target that was canceled
// could go on: no other target has sent an event
// since, and the silent one wasn't asked again and may run the request.
func (r *trial) checkSound(o *outcome, visits []*visit) {
	late := o.ended.Sub(o.begun) > randomDeadline-tolerance
	if !strings.HasPrefix(o.Path, "/long") || o.err == nil && o.status == http.StatusOK || late || strings.Contains(r.log(o.id), "denied:block") {
		return
	}
	ran := map[string]bool{}
	for _, v := range visits {
		ran[v.target] = ran[v.target] || v.ran
	}
	maps.DeleteFunc(ran, func(_ string, ran bool) bool { return !ran })
	for i, v := range visits {
		moved := slices.ContainsFunc(visits[i+1:], func(w *visit) bool {
			hasBegun := w.ran && w.step.Do == doStream // an event, which may be an error
			return w.target == v.target || hasBegun || !w.canceled.IsZero()
		})
		mayRun := ran[v.target] || len(ran) < maxAttempts[o.Path]
		answered := !v.said.IsZero() && v.step.Do != doStream // it wasn't silent for longer
		if !v.canceled.IsZero() && !answered && !moved && mayRun && !r.isExcused(v.target, o.ended) {
			r.Errorf("%s: got status %d and %v, though the silent target %s could go on", o.id, o.status, o.err, v.target)
		}
	}
}

// isExcused reports whether a target may not get a stream at a time: it has said so, has
// a limit, or a connection to it was lost within the last second.
func (r *trial) isExcused(target string, at time.Time) bool {
	g := r.targets[target[0]-'a']
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.visits, func(v *visit) bool {
		lost := v.canceled.IsZero() && (v.step.Do == doDisconnect || v.step.End != endWhole && v.step.End != endError)
		return v.step.Leaving || v.step.Limit != "" || v.step.Rest != "" || lost && v.ended.After(at.Add(-2*time.Second))
	})
}

// log returns the log entries of a request.
func (r *trial) log(id string) string {
	text := ""
	for _, e := range r.logs.All() {
		if m := e.ContextMap(); m["request"] == id {
			delete(m, "errorVerbose")
			text += fmt.Sprintln(e.Time.Format("05.000"), e.Message, m)
		}
	}
	return text
}

// print logs the scenario and what has happened.
func (r *trial) print() {
	r.Logf("scenario: versions %v, %d retries", r.scenario.Versions, r.scenario.MinRetries)
	for _, o := range r.outcomes {
		r.Logf("%s %s %q: %s to %s, status %d, %q, %v", o.id, o.Path, o.Parts, o.begun.Format("05.000"), o.ended.Format("05.000"), o.status, o.body, o.err)
		for _, v := range r.visitsOf(o.id) {
			r.Logf("  %s[%d] %s to %s, canceled %s, said %s, %d events, ran %v: %+v", v.target, v.index, v.begun.Format("05.000"), v.ended.Format("05.000"), v.canceled.Format("05.000"), v.said.Format("05.000"), v.events, v.ran, v.step)
		}
		r.Log(r.log(o.id))
	}
}
