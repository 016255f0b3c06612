package registry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// TTL is the time without an announcement after which a target is gone.
const TTL = 3 * time.Second

// States of a target.
const (
	Ready   = "ready"
	Leaving = "leaving"
	Gone    = "gone"
)

// retention is the time for which a gone target is kept, so that a late
// announcement of its incarnation is recognized.
const retention = 10 * TTL

// relayedGrace is the time that targets have to announce themselves to a holder
// that is reachable again. Entry instances return to it within 5 s, unless a
// configuration is being transferred to them.
const relayedGrace = 10 * time.Second

// Config configures a Registry.
type Config struct {
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
}

// Registry is the table of targets. It is safe for concurrent use. The
// returned targets must not be modified.
type Registry struct {
	cfg Config

	mu       sync.Mutex
	entries  map[string]*entry
	ready    index
	sequence uint64
	changed  chan struct{}
	// nextExpiry is a lower bound of the next time at which a target expires or
	// is deleted; zero if none will.
	nextExpiry time.Time
}

type entry struct {
	name   string
	target *wire.Target
	lists  []*list // lists of the index that contain the entry
	// relayed is true while a holder lists the target.
	relayed bool
	// expires is the time at which the last direct announcement expires, or the
	// time at which the target became gone.
	expires time.Time
	// sequence is the sequence number of the last change.
	sequence uint64
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Registry{cfg: cfg, entries: map[string]*entry{}, ready: index{}, changed: make(chan struct{})}
}

// Announce applies a direct announcement of a target. It reports whether the
// announcement is current: one from an older incarnation, or a ready one from an
// incarnation that is already leaving, is ignored.
func (r *Registry) Announce(t *wire.Target) bool { return r.put(t, false) }

// ApplyRelayed applies the state of a target that a holder relayed. It reports
// whether the state is current, as Announce does.
func (r *Registry) ApplyRelayed(t *wire.Target) bool { return r.put(t, true) }

// ReplaceRelayed applies the full list of targets of a zone, or of all zones if
// zone is empty, from a holder. Targets that are neither in the list nor
// announced directly are marked as gone.
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
		if !e.relayed || listed[name] || zone != "" && e.target.Zone != zone {
			continue
		}
		e.relayed = false
		if now.Before(e.expires) {
			r.scheduleExpiry(e.expires)
		} else {
			r.markGone(name, e, now)
		}
	}
}

// ExpireRelayed makes this instance authoritative for the targets of a zone:
// relayed ones expire unless they announce themselves here within relayedGrace.
// Otherwise a crashed target would stay forever, since the other holders get the
// targets of the zone from this one.
func (r *Registry) ExpireRelayed(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := r.cfg.Now().Add(relayedGrace)
	for _, e := range r.entries {
		if e.relayed && e.target.Zone == zone {
			e.relayed = false
			e.expires = end
			r.scheduleExpiry(end)
		}
	}
}

// Ready returns the targets that accept new requests, sorted by name. If not
// empty, zone and either model or service filter the list. The returned slice is
// never modified.
func (r *Registry) Ready(zone, model, service string) []*wire.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	return r.ready.find(key{zone, model, service})
}

// Count returns the number of targets by state. Expired targets count as gone
// until they are deleted.
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

// ChangesSince returns the targets of a zone that changed after the given
// sequence number, the current sequence number, and a channel that is closed at
// the next change. Expired targets are returned once with state Gone. An empty
// zone means all zones.
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

func (r *Registry) put(t *wire.Target, relayed bool) bool {
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
	e.relayed = t.State != Gone && (relayed || e.relayed)
	switch {
	case t.State == Gone:
		e.expires = now
	case !relayed:
		e.expires = now.Add(TTL)
	}
	if !e.relayed {
		r.scheduleExpiry(e.expires)
	}
	r.ready.update(e, old)
	if old == nil || !isUnchanged(old, t) {
		r.markChanged(e)
	}
	return true
}

// scheduleExpiry makes expire check the targets at the given time.
func (r *Registry) scheduleExpiry(at time.Time) {
	if r.nextExpiry.IsZero() || at.Before(r.nextExpiry) {
		r.nextExpiry = at
	}
}

// expire marks targets without a recent announcement as gone, and deletes
// targets that have been gone for longer than retention.
func (r *Registry) expire() {
	now := r.cfg.Now()
	if r.nextExpiry.IsZero() || now.Before(r.nextExpiry) {
		return
	}
	r.nextExpiry = time.Time{}
	for name, e := range r.entries {
		end := e.expires
		if e.target.State == Gone {
			end = end.Add(retention)
		}
		switch {
		case e.relayed:
		case now.Before(end):
			r.scheduleExpiry(end)
		case e.target.State == Gone:
			delete(r.entries, name)
		default:
			r.markGone(name, e, now)
		}
	}
}

func (r *Registry) markGone(name string, e *entry, now time.Time) {
	r.ready.remove(e)
	gone, ok := proto.Clone(e.target).(*wire.Target)
	if !ok {
		delete(r.entries, name)
		return
	}
	gone.State = Gone
	e.target = gone
	e.expires = now
	r.scheduleExpiry(now.Add(retention))
	r.markChanged(e)
}

func (r *Registry) markChanged(e *entry) {
	r.sequence++
	e.sequence = r.sequence
	close(r.changed)
	r.changed = make(chan struct{})
}

// isUnchanged reports whether two announcements differ only in their time.
func isUnchanged(a, b *wire.Target) bool {
	if len(b.Events) > 0 {
		return false
	}
	return a.State == b.State && a.Incarnation == b.Incarnation && a.Address == b.Address && a.Zone == b.Zone &&
		a.Running == b.Running && a.Waiting == b.Waiting && a.Slots == b.Slots && a.Role == b.Role &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}
