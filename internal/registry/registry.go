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
	sequence uint64
	changed  chan struct{}
}

type entry struct {
	target *wire.Target
	// expires is zero for targets that a holder passed on.
	expires time.Time
	// listed is set while the holder of the target's zone has it. Then it stays
	// when it no longer announces itself here, such as after an entry instance
	// has changed to another holder.
	listed bool
	// sequence is the number of the last change.
	sequence uint64
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Registry{cfg: cfg, entries: map[string]*entry{}, changed: make(chan struct{})}
}

// Announce takes an announcement that came from the target itself. It reports
// whether the announcement is current: one of an older incarnation, or of an
// incarnation that has already said that it is leaving, changes nothing.
func (r *Registry) Announce(t *wire.Target) bool {
	return r.put(t, r.cfg.Now().Add(TTL), false)
}

// Pass takes the state of a target from a holder.
func (r *Registry) Pass(t *wire.Target) bool {
	return r.put(t, time.Time{}, false)
}

// List takes the state of a target from the holder of its zone.
func (r *Registry) List(t *wire.Target) bool {
	return r.put(t, time.Time{}, true)
}

// Replace takes the full list of a zone, or of all zones if zone is empty,
// from a holder. Targets that the list lacks and that did not announce
// themselves here are removed.
func (r *Registry) Replace(zone string, targets []*wire.Target) {
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.Name] = true
		r.put(t, time.Time{}, zone != "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range r.entries {
		if e.target.Zone == zone && !listed[name] {
			e.listed = false
		}
		if (zone == "" || e.target.Zone == zone) && e.target.State != Gone && !listed[name] && e.expires.IsZero() {
			r.remove(name, e)
		}
	}
}

// Ready returns the targets that take new work, sorted by name. Zone, model
// and service restrict the list unless they are empty.
func (r *Registry) Ready(zone, model, service string) []*wire.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var ready []*wire.Target
	for _, e := range r.entries {
		t := e.target
		switch {
		case t.State != Ready || e.isExpired(now):
		case zone != "" && t.Zone != zone:
		case model != "" && !slices.Contains(t.Models, model):
		case service != "" && !slices.Contains(t.Services, service):
		default:
			ready = append(ready, t)
		}
	}
	slices.SortFunc(ready, func(a, b *wire.Target) int { return strings.Compare(a.Name, b.Name) })
	return ready
}

// Count returns the number of targets by state. Targets that have expired
// count as gone until they are forgotten.
func (r *Registry) Count() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	counts := map[string]int{}
	for _, e := range r.entries {
		if e.isExpired(now) {
			counts[Gone]++
		} else {
			counts[e.target.State]++
		}
	}
	return counts
}

// Present returns the targets that are ready or leaving, sorted by name.
func (r *Registry) Present() []*wire.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var present []*wire.Target
	for _, e := range r.entries {
		if e.target.State != Gone && !e.isExpired(now) {
			present = append(present, e.target)
		}
	}
	slices.SortFunc(present, func(a, b *wire.Target) int { return strings.Compare(a.Name, b.Name) })
	return present
}

// Find returns the target of that name, or nil.
func (r *Registry) Find(name string) *wire.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.entries[name]; e != nil && !e.isExpired(r.cfg.Now()) {
		return e.target
	}
	return nil
}

// Since returns the targets of a zone that changed after the given sequence
// number, the present number, and a channel that is closed at the next change.
// Targets that expired are returned once with state Gone. An empty zone means
// all zones.
func (r *Registry) Since(zone string, sequence uint64) ([]*wire.Target, uint64, <-chan struct{}) {
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

func (r *Registry) put(t *wire.Target, expires time.Time, listed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[t.Name]
	if e == nil {
		e = &entry{target: t, expires: expires, listed: listed && t.State != Gone}
		r.entries[t.Name] = e
		r.touch(e)
		return true
	}
	old := e.target
	if t.Incarnation < old.Incarnation {
		return false
	}
	if t.Incarnation == old.Incarnation && old.State == Leaving && t.State == Ready {
		return false
	}
	changed := !isSame(old, t)
	e.target = t
	e.listed = (e.listed || listed) && t.State != Gone
	if !expires.IsZero() || t.State == Gone || old.State == Gone {
		e.expires = expires
	}
	if changed {
		r.touch(e)
	}
	return true
}

// expire turns targets that have not announced themselves in time into gone
// ones, and forgets those that were gone for ten times the TTL.
func (r *Registry) expire() {
	now := r.cfg.Now()
	for name, e := range r.entries {
		switch {
		case !e.isExpired(now):
		case e.target.State != Gone:
			r.remove(name, e)
		case now.After(e.expires.Add(10 * TTL)):
			delete(r.entries, name)
		}
	}
}

func (r *Registry) remove(name string, e *entry) {
	gone, ok := proto.Clone(e.target).(*wire.Target)
	if !ok {
		delete(r.entries, name)
		return
	}
	gone.State = Gone
	e.target, e.listed = gone, false
	e.expires = r.cfg.Now()
	r.touch(e)
}

func (r *Registry) touch(e *entry) {
	r.sequence++
	e.sequence = r.sequence
	close(r.changed)
	r.changed = make(chan struct{})
}

func (e *entry) isExpired(now time.Time) bool {
	return !e.listed && !e.expires.IsZero() && !now.Before(e.expires)
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
