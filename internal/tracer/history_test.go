package tracer_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
)

// list returns a target for each version.
func list(versions ...string) []*wire.Listing {
	var all []*wire.Listing
	for _, v := range versions {
		all = append(all, &wire.Listing{Id: v, Pool: "p", Version: v})
	}
	return all
}

// observe tells a tracer that these versions are the listed ones.
func observe(tr *tracer.Tracer, versions ...string) {
	for _, l := range list(versions...) {
		tr.Observe(l)
	}
	tr.ObserveAll(list(versions...))
}

func routing(digest string) map[string]string { return map[string]string{"h": digest} }

// wantSole checks the only version of the pool over 20 minutes.
func wantSole(t *testing.T, when string, tr *tracer.Tracer, want string, wantOK bool) {
	t.Helper()
	if got, ok := tr.Sole("p", "h", "r1", 20*time.Minute); got != want || ok != wantOK {
		t.Errorf("%s: got %q and %v, want %q and %v", when, got, ok, want, wantOK)
	}
}

// Streams of a pool may have begun at each version that was listed in the window, also
// if its targets have left since or were listed only between two complete lists.
func TestSole(t *testing.T) {
	c := newClock()
	tr := tracer.New(tracer.Config{Complete: true, Now: c.Now})
	tr.ObserveRoutings(routing("r1"))
	wantSole(t, "no target yet", tr, "", false)
	observe(tr, "v1")
	wantSole(t, "one version", tr, "v1", true)
	observe(tr, "v1", "v2")
	wantSole(t, "two versions", tr, "", false)
	observe(tr, "v2")
	wantSole(t, "the first one has left", tr, "", false)
	c.advance(21 * time.Minute)
	wantSole(t, "21 min later", tr, "v2", true)
	tr.Observe(list("v3")[0])
	tr.ObserveAll(list("v2"))
	wantSole(t, "a target came and left", tr, "", false)
	c.advance(21 * time.Minute)
	wantSole(t, "21 min later", tr, "v2", true)
	tr.Observe(&wire.Listing{Id: "x", Pool: "p", Version: "v4", Gone: true})
	wantSole(t, "the end of an unknown target", tr, "v2", true)
	observe(tr, "v2", "")
	wantSole(t, "a target without a version", tr, "", false)
	observe(tr)
	c.advance(21 * time.Minute)
	wantSole(t, "no target for 21 min", tr, "", false)
}

// A short window must not hide targets that instances without contact still use.
func TestLeastWindow(t *testing.T) {
	c := newClock()
	tr := tracer.New(tracer.Config{Complete: true, Now: c.Now})
	tr.ObserveRoutings(routing("r1"))
	observe(tr, "v1")
	observe(tr, "v2")
	c.advance(9 * time.Minute)
	if version, ok := tr.Sole("p", "h", "r1", time.Second); ok {
		t.Errorf("9 min after the last target of v1: got %q, want none", version)
	}
	if version, ok := tr.Sole("p", "h", "r1", 2*time.Hour); ok {
		t.Errorf("for 2 h: got %q, want none, as versions are forgotten", version)
	}
}

// If a route led to another pool in the window, its streams may have begun
// there.
func TestRoutings(t *testing.T) {
	c := newClock()
	tr := tracer.New(tracer.Config{Complete: true, Now: c.Now})
	observe(tr, "v1")
	wantSole(t, "no routes", tr, "", false)
	tr.ObserveRoutings(routing("r0"))
	tr.ObserveRoutings(routing("r1"))
	wantSole(t, "just changed", tr, "", false)
	c.advance(21 * time.Minute)
	wantSole(t, "21 min later", tr, "v1", true)
	if version, ok := tr.Sole("p", "h", "r0", 20*time.Minute); ok {
		t.Errorf("a caller with the routes before: got %q, want none", version)
	}
	tr.ObserveRoutings(routing("r2"))
	tr.ObserveRoutings(routing("r1"))
	wantSole(t, "changed and changed back", tr, "", false)
	c.advance(21 * time.Minute)
	wantSole(t, "21 min after that", tr, "v1", true)
	tr.ObserveRoutings(nil)
	tr.ObserveRoutings(routing("r1"))
	wantSole(t, "removed and added again", tr, "", false)
	c.advance(21 * time.Minute)
	wantSole(t, "21 min after that", tr, "v1", true)
	tr.ObserveRoutings(map[string]string{"h": "r1", "i": "r1"})
	if version, ok := tr.Sole("p", "i", "r1", 20*time.Minute); ok {
		t.Errorf("a route that was added: got %q, want none: another one may have got its requests", version)
	}
}

// After a gap in what an instance has observed, such as a snapshot of an older build, which
// has no history, it may not tell.
func TestGap(t *testing.T) {
	c := newClock()
	core := tracer.New(tracer.Config{Complete: true, Now: c.Now})
	core.ObserveRoutings(routing("r1"))
	observe(core, "v1")
	wantSole(t, "before the gap", core, "v1", true)
	core.Load(&wire.CoreState{})
	core.ObserveRoutings(routing("r1"))
	observe(core, "v1")
	wantSole(t, "after a gap", core, "", false)
	c.advance(21 * time.Minute)
	wantSole(t, "21 min after the gap", core, "v1", true)
}

// An entry instance hears of targets only now and then, and must not tell.
func TestIncomplete(t *testing.T) {
	c := newClock()
	entry := tracer.New(tracer.Config{Now: c.Now})
	entry.ObserveRoutings(routing("r1"))
	observe(entry, "v1")
	c.advance(21 * time.Minute)
	wantSole(t, "one version for 21 min", entry, "", false)
}

// A core instance that starts again from its snapshot must neither lose its history nor
// take what has ended for shorter ago than it was.
func TestRestartKeepsHistory(t *testing.T) {
	c := newClock()
	core := tracer.New(tracer.Config{Complete: true, Now: c.Now})
	core.ObserveRoutings(routing("r1"))
	observe(core, "v0")
	c.advance(30 * time.Minute)
	observe(core, "v1")
	c.advance(15 * time.Minute)
	restart := func() *tracer.Tracer {
		s := &wire.CoreState{}
		core.Save(s)
		next := tracer.New(tracer.Config{Complete: true, Now: c.Now})
		next.Load(s)
		observe(next, "v1")
		next.ObserveRoutings(routing("r1"))
		return next
	}
	wantSole(t, "15 min after the last target of v0", core, "", false)
	core = restart()
	c.advance(15 * time.Minute)
	wantSole(t, "15 min after the restart", core, "", false)
	c.advance(6 * time.Minute)
	wantSole(t, "21 min after the restart", core, "v1", true)
	core = restart()
	c.advance(21 * time.Minute)
	wantSole(t, "21 min after the second restart", core, "v1", true)
}

// past is what was listed, as a model of the history.
type past struct {
	listed []string
	ended  map[string]time.Time // by version that isn't listed
}

// set lists other versions.
func (p past) set(versions []string, now time.Time) past {
	next := past{versions, maps.Clone(p.ended)}
	for _, v := range p.listed {
		next.ended[v] = now
	}
	for _, v := range versions {
		delete(next.ended, v)
	}
	return next
}

// wrong returns a version other than the one told that was listed in the window, or "".
func (p past) wrong(told string, window time.Duration, now time.Time) string {
	for _, v := range p.listed {
		if v != told {
			return v
		}
	}
	for v, end := range p.ended {
		if v != told && now.Sub(end) < window {
			return v
		}
	}
	return ""
}

// Under random releases, restarts and silences, the only version told must be the one
// of each target that was listed in the window.
func TestRandomHistory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := newClock()
		core := tracer.New(tracer.Config{Complete: true, Now: c.Now})
		core.ObserveRoutings(routing("r1"))
		now := past{ended: map[string]time.Time{}}
		r.Repeat(map[string]func(*rapid.T){
			"release": func(r *rapid.T) {
				versions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 0, 2, rapid.ID).Draw(r, "versions")
				now = now.set(versions, c.now)
				for _, l := range list(versions...) {
					core.Observe(l)
				}
			},
			"list": func(*rapid.T) { core.ObserveAll(list(now.listed...)) },
			"restart": func(*rapid.T) {
				s := &wire.CoreState{}
				core.ObserveAll(list(now.listed...))
				core.Save(s)
				core = tracer.New(tracer.Config{Complete: true, Now: c.Now})
				core.Load(s)
			},
			"pause": func(r *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 1800).Draw(r, "s")) * time.Second) },
			"": func(r *rapid.T) {
				window := time.Duration(rapid.IntRange(0, 70).Draw(r, "window")) * time.Minute
				if version, ok := core.Sole("p", "h", "r1", window); ok {
					if other := now.wrong(version, window, c.now); other != "" {
						r.Fatalf("got only %s in %v, want also %s", version, window, other)
					}
				}
			},
		})
	})
}
