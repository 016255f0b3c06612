package enroller

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// maxEndedTargets limits how many ended lifetimes are remembered, so that a
// late announcement doesn't revive them.
const maxEndedTargets = 4096

// Enroller is the registry of targets. It isn't safe for concurrent use.
type Enroller struct {
	revision uint64
	targets  map[string]*wire.Listing
	ended    []string          // names of ended targets, oldest first
	changed  map[string]uint64 // revision of the last change, by name
	floor    uint64            // changes up to this revision aren't in changed
	list     []*wire.Listing   // targets that haven't ended; nil if outdated
}

// New returns an empty registry.
func New() *Enroller {
	return &Enroller{targets: map[string]*wire.Listing{}, changed: map[string]uint64{}}
}

// Changes reports whether an announcement would change the registry.
func (e *Enroller) Changes(l *wire.Listing) bool {
	old := e.targets[l.Id]
	if old == nil {
		return !e.addressTaken(l)
	}
	if old.Born > l.Born && l.Born > 0 {
		return false
	}
	if old.Born < l.Born {
		return !e.addressTaken(l)
	}
	if old.Gone || l.Sequence < old.Sequence && !l.Gone {
		return false
	}
	return l.Gone || l.Leaving && !old.Leaving || l.Version != "" && l.Version != old.Version ||
		!old.Leaving && !l.Leaving && (old.Address != l.Address || old.Pool != l.Pool || old.Capacity != l.Capacity || old.Zone != l.Zone)
}

// Known reports whether the lifetime of an announcement is registered and
// hasn't ended.
func (e *Enroller) Known(l *wire.Listing) bool {
	old := e.targets[l.Id]
	return old != nil && !old.Gone && (l.Born == 0 || old.Born == l.Born)
}

// addressTaken reports whether a younger lifetime uses the address.
func (e *Enroller) addressTaken(l *wire.Listing) bool {
	if l.Gone || l.Address == "" {
		return false
	}
	for _, o := range e.targets {
		if o.Id != l.Id && o.Address == l.Address && o.Born > l.Born {
			return true
		}
	}
	return false
}

// Apply applies an announcement. It is deterministic.
func (e *Enroller) Apply(l *wire.Listing) {
	if !e.Changes(l) {
		return
	}
	e.revision++
	e.list = nil
	old := e.targets[l.Id]
	if l.Gone {
		e.end(l, old)
		return
	}
	for id, o := range e.targets {
		if id != l.Id && o.Address == l.Address && !o.Gone {
			e.end(o, o)
		}
	}
	next := proto.CloneOf(l)
	if old != nil && old.Born == l.Born {
		next.Leaving = next.Leaving || old.Leaving
		next.Version = cmp.Or(next.Version, old.Version)
	}
	e.targets[l.Id], e.changed[l.Id] = next, e.revision
}

// end marks a lifetime as ended.
func (e *Enroller) end(l, old *wire.Listing) {
	next := &wire.Listing{Id: l.Id, Born: l.Born, Sequence: l.Sequence, Gone: true}
	if old != nil {
		next.Born = max(l.Born, old.Born)
		next.Address, next.Pool, next.Zone = old.Address, old.Pool, old.Zone
	}
	e.targets[l.Id], e.changed[l.Id] = next, e.revision
	e.ended = append(e.ended, l.Id)
	for len(e.ended) > maxEndedTargets {
		if o := e.targets[e.ended[0]]; o != nil && o.Gone {
			delete(e.targets, e.ended[0])
			delete(e.changed, e.ended[0])
			e.floor = e.revision
		}
		e.ended = e.ended[1:]
	}
}

// Revision returns a number that increases with each change.
func (e *Enroller) Revision() uint64 { return e.revision }

// List returns the targets that haven't ended, sorted by name. They must not be
// modified.
func (e *Enroller) List() []*wire.Listing {
	return slices.Clone(e.current())
}

// current returns the targets that haven't ended, sorted by name.
func (e *Enroller) current() []*wire.Listing {
	if e.list == nil {
		e.list = make([]*wire.Listing, 0, len(e.targets))
		for _, l := range e.targets {
			if !l.Gone {
				e.list = append(e.list, l)
			}
		}
		slices.SortFunc(e.list, func(a, b *wire.Listing) int { return cmp.Compare(a.Id, b.Id) })
	}
	return e.list
}

// Len returns the number of targets that haven't ended.
func (e *Enroller) Len() int { return len(e.current()) }

// Since returns the targets that have changed after a revision, those that have ended
// included. It returns false if that isn't known any more. They must not be modified.
func (e *Enroller) Since(revision uint64) (list []*wire.Listing, ok bool) {
	if revision < e.floor || revision > e.revision {
		return nil, false
	}
	for id, changed := range e.changed {
		if changed > revision {
			list = append(list, e.targets[id])
		}
	}
	return list, true
}

// Save writes the state to a snapshot.
func (e *Enroller) Save(s *wire.CoreState) {
	s.Roster = e.revision
	for _, id := range slices.Sorted(maps.Keys(e.targets)) {
		s.Targets = append(s.Targets, e.targets[id])
	}
}

// Load replaces the state with that of a snapshot.
func (e *Enroller) Load(s *wire.CoreState) {
	e.revision = s.Roster
	e.targets, e.ended, e.list = map[string]*wire.Listing{}, nil, nil
	e.changed, e.floor = map[string]uint64{}, s.Roster
	for _, l := range s.Targets {
		e.targets[l.Id] = l
		if l.Gone {
			e.ended = append(e.ended, l.Id)
		}
	}
}
