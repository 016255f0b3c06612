package router

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/hasher"
	"github.com/papayapond/papayapond/internal/wire"
)

func allowAll(string) bool { return true }

// fixture is a set of targets shared by routers.
type fixture struct {
	targets []*wire.Target
	now     time.Time
}

func newFixture(n int) *fixture {
	p := &fixture{now: time.Unix(1000, 0)}
	for i := range n {
		p.targets = append(p.targets, &wire.Target{Name: fmt.Sprintf("e%d", i), Zone: "a", Slots: 16, Incarnation: 1})
	}
	return p
}

func (p *fixture) router(t *testing.T, policy string, seed uint64) *Router {
	r, err := New(Config{
		Zone: "a", Policy: policy, Now: func() time.Time { return p.now }, Random: rand.New(rand.NewPCG(seed, 0)).IntN,
		Ready: func(zone, _, _ string) (list []*wire.Target) {
			for _, target := range p.targets {
				if zone == "" || target.Zone == zone {
					list = append(list, target)
				}
			}
			return list
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func pick(t *testing.T, r *Router, prompt string) (string, func()) {
	t.Helper()
	target, done, err := r.Pick("m", "", []byte(prompt), allowAll)
	if err != nil {
		t.Fatal(err)
	}
	return target.Name, done
}

// Requests must stay in the zone while it has a target, and otherwise go to
// another zone instead of failing.
func TestPreferLocalZone(t *testing.T) {
	p := newFixture(3)
	p.targets[0].Zone, p.targets[1].Zone = "b", "b"
	for _, policy := range Policies() {
		r := p.router(t, policy, 1)
		for range 20 {
			name, done := pick(t, r, "")
			if name != "e2" {
				t.Errorf("%s: got %s, want the local e2", policy, name)
			}
			done()
		}
		target, _, err := r.Pick("m", "", nil, func(name string) bool { return name == "e1" })
		if err != nil || target.Name != "e1" {
			t.Errorf("%s: got %v, error %v, want e1 of the other zone", policy, target, err)
		}
	}
}

// Requests must go to another zone with free slots if all local targets are
// full, and stay local if no zone has free slots.
func TestFullZone(t *testing.T) {
	p := newFixture(4)
	p.targets[2].Zone, p.targets[3].Zone = "b", "b"
	p.targets[3].Running = 40
	r := p.router(t, LeastRequests, 1)
	r.cfg.ReportLag = time.Nanosecond
	counts := map[string]int{}
	for range 44 {
		name, _ := pick(t, r, "")
		counts[name]++
	}
	if counts["e0"] != 16 || counts["e1"] != 16 || counts["e2"] != 12 || counts["e3"] != 0 {
		t.Errorf("got %v, want 16 at each local target and the rest at e2", counts)
	}
	for range 20 {
		pick(t, r, "")
	}
	if name, _ := pick(t, r, ""); name != "e0" && name != "e1" {
		t.Errorf("all full: got %s, want a local target", name)
	}
}

// A delayed report includes requests of this instance. They must be counted
// once, and requests of other instances must be added.
func TestStaleReport(t *testing.T) {
	p := newFixture(1)
	r := p.router(t, LeastRequests, 1)
	var dones []func()
	for range 6 {
		_, done := pick(t, r, "")
		dones = append(dones, done)
	}
	p.now = p.now.Add(2 * time.Second)
	p.targets[0] = &wire.Target{Name: "e0", Zone: "a", Incarnation: 1, Running: 10}
	pick(t, r, "")
	s := r.states["e0"]
	if got, want := float64(s.outstanding)+s.remote, 11.0; got != want {
		t.Errorf("load: got %v, want 10 reported and 1 sent since", got)
	}
	for _, done := range dones {
		done()
		done()
	}
	if got, want := float64(s.outstanding)+s.remote, 5.0; got != want {
		t.Errorf("load after 6 answers: got %v, want %v", got, want)
	}
}

// Instances that choose at the same time with the same old reports must not all
// send to the target that looked idle.
func TestStaleReportsNoHerd(t *testing.T) {
	for _, policy := range []string{TwoChoices, LeastCost, LeastRequests, PrefixHash} {
		p := newFixture(12)
		for _, target := range p.targets {
			target.Running = 6
		}
		counts := map[string]int{}
		for seed := range uint64(8) {
			r := p.router(t, policy, seed)
			for i := range 3 {
				name, _ := pick(t, r, fmt.Sprintf("%d-%d%s", seed, i, strings.Repeat(" unlike", 200)))
				counts[name]++
			}
		}
		for name, n := range counts {
			if n > 6 {
				t.Errorf("%s: %s got %d of 24 requests, want at most 3 times its share", policy, name, n)
			}
		}
	}
}

// Requests with a common prefix must go to the target that has it cached,
// unless the target is overloaded, has evicted it or has restarted.
func TestPrefixAffinity(t *testing.T) {
	prompt := strings.Repeat("You sell shoes. ", 500)
	cachePrompt := func(t *testing.T) (*fixture, *Router, *wire.Target) {
		p := newFixture(8)
		r := p.router(t, LeastCost, 1)
		name, done := pick(t, r, prompt+"first")
		done()
		p.now = p.now.Add(10 * time.Second)
		for range 10 {
			if got, done := pick(t, r, prompt+"next"); got != name {
				t.Fatalf("got %s, want %s again", got, name)
			} else {
				done()
			}
		}
		for _, target := range p.targets {
			if target.Name == name {
				return p, r, target
			}
		}
		return nil, nil, nil
	}
	_, busy, target := cachePrompt(t)
	target.Running, target.Waiting = 16, 40
	busy.states[target.Name].announcement, busy.meanDuration = nil, time.Second
	if got, _ := pick(t, busy, prompt); got == target.Name {
		t.Errorf("overloaded: got %s, want another target", got)
	}

	p, r, target := cachePrompt(t)
	p.now = p.now.Add(2 * eventAge)
	target.Incarnation++
	r.states[target.Name].update(&wire.Target{Incarnation: 2}, p.now, 0)
	if got := r.states[target.Name].cache.match(hasher.New("m").Hashes([]byte(prompt), maxBlocks)); got != 0 {
		t.Errorf("after a restart: got %d blocks, want none", got)
	}

	p, r, target = cachePrompt(t)
	hashes := hasher.New("m").Hashes([]byte(prompt), maxBlocks)
	evicted := &wire.Target{Incarnation: 1}
	for _, h := range hashes {
		evicted.Events = append(evicted.Events, &wire.Cache{Hash: h, Evicted: true})
	}
	c := r.states[target.Name].cache
	c.applyEvents(evicted.Events, p.now)
	if got := c.match(hashes); got != len(hashes) {
		t.Errorf("late eviction of a block sent since then: got %d blocks, want %d", got, len(hashes))
	}
	c.applyEvents(evicted.Events, p.now.Add(2*eventAge))
	if got := c.match(hashes); got != 0 {
		t.Errorf("after the eviction: got %d blocks, want none", got)
	}
	c.applyEvents([]*wire.Cache{{Hash: hashes[0]}, {Hash: hashes[3]}}, p.now)
	if got, want := c.match(hashes), 4; got != want {
		t.Errorf("with lost events: got %d blocks, want %d", got, want)
	}
}

// A popular prefix must not overload its target under PrefixHash.
func TestBoundedLoad(t *testing.T) {
	p := newFixture(10)
	r := p.router(t, PrefixHash, 1)
	prompt := strings.Repeat("popular ", 500)
	counts := map[string]int{}
	for range 100 {
		name, _ := pick(t, r, prompt)
		counts[name]++
	}
	for name, n := range counts {
		if n > 15 {
			t.Errorf("%s: got %d of 100 requests, want at most 15", name, n)
		}
	}
}

// New must reject an unknown policy.
func TestUnknownPolicy(t *testing.T) {
	if _, err := New(Config{Policy: "other"}); err == nil {
		t.Error("got no error, want one")
	}
}

// An old report that a target is idle must lose its weight, since the other
// instances have read it too and have filled the target.
func TestReportDecay(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newState()
	s.update(&wire.Target{Running: 0}, now, 0)
	for _, test := range []struct {
		age       time.Duration
		low, high float64
	}{{0, 0, 0.1}, {reportDecay, 6, 7}, {10 * reportDecay, 9.9, 10}} {
		c := candidate{state: s}
		c.estimate(now.Add(test.age), 10, 0)
		if c.load < test.low || c.load > test.high {
			t.Errorf("after %v: got load %v, want %v to %v", test.age, c.load, test.low, test.high)
		}
	}
}

// The cache estimates must be bounded over all targets, or a large zone would
// exceed the memory limit of a control instance.
func TestCacheLimit(t *testing.T) {
	p := newFixture(300)
	r := p.router(t, RoundRobin, 1)
	for i := range 6000 {
		_, done := pick(t, r, fmt.Sprint(i, strings.Repeat(" unlike the others", 1000)))
		done()
	}
	total := 0
	for _, s := range r.states {
		total += s.cache.order.Len()
	}
	if total > maxTotal {
		t.Errorf("got %d blocks, want at most %d", total, maxTotal)
	}
}

// BenchmarkPick measures Pick by the number of targets of the model in the
// zone.
func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{12, 300, 3_100} {
		p := newFixture(targets)
		r, err := New(Config{Zone: "a", Ready: func(string, string, string) []*wire.Target { return p.targets }})
		if err != nil {
			b.Fatal(err)
		}
		prompt := []byte(strings.Repeat("brown shoes ", 100))
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			for b.Loop() {
				_, done, err := r.Pick("m", "", prompt, allowAll)
				if err != nil {
					b.Fatal(err)
				}
				done()
			}
		})
	}
}

// Instances that send suspect content at the same time must choose the same
// target, regardless of their state.
func TestPickSuspectAgrees(t *testing.T) {
	p := newFixture(12)
	p.targets[7].Zone = "b"
	one, two := p.router(t, LeastCost, 1), p.router(t, RoundRobin, 2)
	pick(t, one, "other")
	chosen := map[string]bool{}
	for i := range 50 {
		digest, failed := []byte(fmt.Sprint("content ", i)), ""
		for range 2 {
			allowed := func(target string) bool { return target != failed }
			a, _, err := one.PickSuspect("m", "", digest, allowed)
			b, done, otherErr := two.PickSuspect("m", "", digest, allowed)
			if err != nil || otherErr != nil || a.Name != b.Name || a.Name == failed {
				t.Fatalf("got %v and %v (errors %v, %v), want the same target other than %q", a, b, err, otherErr, failed)
			}
			done()
			failed, chosen[a.Name] = a.Name, true
		}
	}
	if len(chosen) != len(p.targets) {
		t.Errorf("got %d targets for 50 contents, want all", len(chosen))
	}
}
