package tracer

import (
	"cmp"
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// minWindow is the least time for which an only version must have been the only
	// one. Entry instances that are cut off go on using targets and routes that the
	// core instances have replaced.
	minWindow = 10 * time.Minute
	// historyMemory is how long replaced values are remembered. No longer window can
	// be asked for.
	historyMemory = time.Hour
)

// history is what was in force over some time.
type history struct {
	known    bool
	covered  time.Time // it is complete from here on; zero: from the start of the fleet
	versions spells    // software versions of the listed targets, by pool
	routings spells    // digests of routes, by host and prefix; "" without the route
}

// spells holds until when each value of a name was in force; the zero time means that
// it is.
type spells map[spell]time.Time

type spell struct{ name, value string }

// Observe notes a target that is listed from now on.
func (t *Tracer) Observe(l *wire.Listing) {
	if l.Gone {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.versions[spell{l.Pool, l.Version}] = time.Time{}
}

// ObserveAll notes that no other targets are listed. Each one that was listed since
// the last call must have been observed.
func (t *Tracer) ObserveAll(list []*wire.Listing) {
	listed := map[spell]bool{}
	for _, l := range list {
		if !l.Gone {
			listed[spell{l.Pool, l.Version}] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.versions.replace(listed, t.cfg.Now())
}

// ObserveRoutings notes the digests of the routes in force, by host and prefix.
func (t *Tracer) ObserveRoutings(digests map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, s := t.cfg.Now(), t.history.routings
	inForce, isFirst := map[spell]bool{}, len(s) == 0
	known := map[string]bool{}
	for p := range s {
		known[p.name] = true
		if _, ok := digests[p.name]; !ok && p.value != "" {
			inForce[spell{p.name, ""}] = true // the route is missing
		}
	}
	for name, digest := range digests {
		inForce[spell{name, digest}] = true
		if !known[name] && !isFirst {
			s[spell{name, ""}] = now // the route was missing
		}
	}
	s.replace(inForce, now)
}

// Sole returns the version of all targets of a pool that were listed in a window of
// time before now, if there is just one, and if the route had the same digest
// for as long, so that no other pool got its requests. That version began all streams
// of the pool that began in the window.
func (t *Tracer) Sole(pool, route, routing string, window time.Duration) (version string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, h := t.cfg.Now(), &t.history
	window = max(window, minWindow)
	versions, routings := h.versions.since(pool, now, window), h.routings.since(route, now, window)
	if !h.known || window > historyMemory || now.Sub(h.covered) < window || len(versions) != 1 || !slices.Equal(routings, []string{routing}) {
		return "", false
	}
	return versions[0], true
}

// encode returns the wire form, or nil if nothing is known.
func (h *history) encode(now time.Time) *wire.History {
	if !h.known {
		return nil
	}
	return &wire.History{
		Covered:  min(now.Sub(h.covered), historyMemory).Milliseconds(),
		Versions: h.versions.encode(now), Routings: h.routings.encode(now),
	}
}

// load replaces the history with one that was encoded at an unknown time. Without one,
// it is known from now on.
func (h *history) load(q *wire.History, now time.Time) {
	h.known, h.covered = true, ago(now, q.GetCovered())
	h.versions, h.routings = newSpells(q.GetVersions(), now), newSpells(q.GetRoutings(), now)
	h.versions.prolong(now)
	h.routings.prolong(now)
}

// newSpells decodes spells.
func newSpells(list []*wire.Spell, now time.Time) spells {
	s := spells{}
	for _, q := range list {
		until := time.Time{}
		if q.Age > 0 {
			until = ago(now, q.Age)
		}
		s[spell{q.Name, q.Value}] = until
	}
	return s
}

// replace puts values in force and ends all others.
func (s spells) replace(inForce map[spell]bool, now time.Time) {
	for p, until := range s {
		switch {
		case until.IsZero() && !inForce[p]:
			s[p] = now
		case now.Sub(until) > historyMemory && !until.IsZero():
			delete(s, p)
		}
	}
	for p := range inForce {
		s[p] = time.Time{}
	}
}

// since returns the values of a name that were in force in a window of time before
// now, sorted.
func (s spells) since(name string, now time.Time, window time.Duration) []string {
	var values []string
	for p, until := range s {
		if p.name == name && (until.IsZero() || now.Sub(until) <= window) {
			values = append(values, p.value)
		}
	}
	slices.Sort(values)
	return values
}

// prolong lets the values that aren't in force have been so until now.
func (s spells) prolong(now time.Time) {
	for p, until := range s {
		if !until.IsZero() {
			s[p] = now
		}
	}
}

// encode returns the wire form.
func (s spells) encode(now time.Time) []*wire.Spell {
	var list []*wire.Spell
	for p, until := range s {
		q := &wire.Spell{Name: p.name, Value: p.value}
		if !until.IsZero() {
			q.Age = max(now.Sub(until).Milliseconds(), 1)
		}
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *wire.Spell) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Value, b.Value))
	})
	return list
}

// ago returns the time a number of ms before now.
func ago(now time.Time, ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
