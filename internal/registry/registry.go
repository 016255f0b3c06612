package registry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// TTL is the time after which a target that has not announced itself is gone.
const TTL = 3 * time.Second

// States of a target.
const (
	Ready   = "ready"
	Leaving = "leaving"
	Gone    = "gone"
)

// retention is the time for which a target that has gone is remembered, so
// that a late announcement of its incarnation is recognised.
const retention = 10 * TTL

// adoptTime is the time in which targets announce themselves to a holder that
// has come back: entry instances return to it within 5 s, unless a
// configuration is under way.
const adoptTime = 10 * time.Second

// Config configures a Registry.
type Config struct {
	// Now returns the current time.
	Now func() time.Time
}

// Registry is the table of targets. It is safe for concurrent use. The
// targets that it returns must not be changed.
type Registry struct {
	cfg Config

	mu       sync.Mutex
	entries  map[string]*entry
	ready    index
	sequence uint64
	changed  chan struct{}
	// due is not after the next time at which a target expires or is
	// forgotten; it is zero if none will.
	due time.Time
}

type entry struct {
	name   string
	target *wire.Target
	lists  []*list // those of the index that have it
	// passed tells that a holder passed the target on and has not taken it back.
	passed bool
	// expires is the end of the last announcement that came from the target
	// itself, or the time at which it was found gone.
	expires time.Time
	// sequence is the number of the last change.
	sequence uint64
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Registry{cfg: cfg, entries: map[string]*entry{}, ready: index{}, changed: make(chan struct{})}
}

// Announce takes an announcement that came from the target itself. It reports
// whether the announcement is current: one of an older incarnation, or of an
// incarnation that has already said that it is leaving, changes nothing.
func (r *Registry) Announce(t *wire.Target) bool { return r.put(t, false) }

// ApplyRelayed takes the state of a target from a holder.
func (r *Registry) ApplyRelayed(t *wire.Target) bool { return r.put(t, true) }

// ReplaceRelayed takes the full list of a zone, or of all zones if zone is empty,
// from a holder. Targets that the list lacks and that did not announce
// themselves here are removed.
func (r *Registry) ReplaceRelayed(zone string, targets []*wire.Target) {
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.Name] = true
		r.ApplyRelayed(t)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	for name, e := range r.entries {
		if !e.passed || listed[name] || zone != "" && e.target.Zone != zone {
			continue
		}
		e.passed = false
		if now.Before(e.expires) {
			r.expect(e.expires)
		} else {
			r.remove(name, e, now)
		}
	}
}

// ExpireRelayed makes this instance the one that decides on the targets of a zone: those
// that a holder passed on before have to announce themselves here within 10 s.
// Otherwise a target that dies without a word would stay for good, since the
// other holders have it from here.
func (r *Registry) ExpireRelayed(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.cfg.Now().Add(adoptTime)
	for _, e := range r.entries {
		if e.passed && e.target.Zone == zone {
			e.passed = false
			e.expires = end
			r.expect(end)
		}
	}
}

// Ready returns the targets that take new work, sorted by name. The zone, and
// either a model or a service, restrict the list unless they are empty. The
// list never changes.
func (r *Registry) Ready(zone, model, service string) []*wire.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	return r.ready.find(key{zone, model, service})
}

// Count returns the number of targets by state. Targets that have expired
// count as gone until they are forgotten.
func (r *Registry) Count() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	counts := map[string]int{}
	for _, e := range r.entries {
		counts[e.target.State]++
	}
	return counts
}

// Live returns the targets that are ready or leaving, sorted by name.
func (r *Registry) Live() []*wire.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	var present []*wire.Target
	for _, e := range r.entries {
		if e.target.State != Gone {
			present = append(present, e.target)
		}
	}
	slices.SortFunc(present, func(a, b *wire.Target) int { return strings.Compare(a.Name, b.Name) })
	return present
}

// ChangesSince returns the targets of a zone that changed after the given sequence
// number, the present number, and a channel that is closed at the next change.
// Targets that expired are returned once with state Gone. An empty zone means
// all zones.
func (r *Registry) ChangesSince(zone string, sequence uint64) ([]*wire.Target, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	var changed []*wire.Target
	for _, e := range r.entries {
		if e.sequence > sequence && (zone == "" || e.target.Zone == zone) {
			changed = append(changed, e.target)
		}
	}
	slices.SortFunc(changed, func(a, b *wire.Target) int { return strings.Compare(a.Name, b.Name) })
	return changed, r.sequence, r.changed
}

func (r *Registry) put(t *wire.Target, passed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	e := r.entries[t.Name]
	if e == nil {
		e = &entry{name: t.Name}
		r.entries[t.Name] = e
	}
	old := e.target
	switch {
	case old == nil:
	case t.Incarnation < old.Incarnation:
		return false
	case t.Incarnation == old.Incarnation && old.State == Leaving && t.State == Ready:
		return false
	}
	e.target = t
	e.passed = t.State != Gone && (passed || e.passed)
	switch {
	case t.State == Gone:
		e.expires = now
	case !passed:
		e.expires = now.Add(TTL)
	}
	if !e.passed {
		r.expect(e.expires)
	}
	r.ready.update(e, old)
	if old == nil || !isSame(old, t) {
		r.touch(e)
	}
	return true
}

// expect makes expire look at the targets at that time.
func (r *Registry) expect(at time.Time) {
	if r.due.IsZero() || at.Before(r.due) {
		r.due = at
	}
}

// expire turns targets that have not announced themselves in time into gone
// ones, and forgets those that have been gone for long.
func (r *Registry) expire() {
	now := r.cfg.Now()
	if r.due.IsZero() || now.Before(r.due) {
		return
	}
	r.due = time.Time{}
	for name, e := range r.entries {
		end := e.expires
		if e.target.State == Gone {
			end = end.Add(retention)
		}
		switch {
		case e.passed:
		case now.Before(end):
			r.expect(end)
		case e.target.State == Gone:
			delete(r.entries, name)
		default:
			r.remove(name, e, now)
		}
	}
}

func (r *Registry) remove(name string, e *entry, now time.Time) {
	r.ready.remove(e)
	gone, ok := proto.Clone(e.target).(*wire.Target)
	if !ok {
		delete(r.entries, name)
		return
	}
	gone.State = Gone
	e.target = gone
	e.expires = now
	r.expect(now.Add(retention))
	r.touch(e)
}

func (r *Registry) touch(e *entry) {
	r.sequence++
	e.sequence = r.sequence
	close(r.changed)
	r.changed = make(chan struct{})
}

// isSame tells whether two announcements differ only in their time.
func isSame(a, b *wire.Target) bool {
	if len(b.Events) > 0 {
		return false
	}
	return a.State == b.State && a.Incarnation == b.Incarnation && a.Address == b.Address &&
		a.Running == b.Running && a.Waiting == b.Waiting && a.Slots == b.Slots && a.Role == b.Role &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}
