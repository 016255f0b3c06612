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
	ended    []string // names of ended targets, oldest first
}

// New returns an empty registry.
func New() *Enroller {
	return &Enroller{targets: map[string]*wire.Listing{}}
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
	e.targets[l.Id] = next
}

// end marks a lifetime as ended.
func (e *Enroller) end(l, old *wire.Listing) {
	next := &wire.Listing{Id: l.Id, Born: l.Born, Sequence: l.Sequence, Gone: true}
	if old != nil {
		next.Born = max(l.Born, old.Born)
		next.Address, next.Pool, next.Zone = old.Address, old.Pool, old.Zone
	}
	e.targets[l.Id] = next
	e.ended = append(e.ended, l.Id)
	for len(e.ended) > maxEndedTargets {
		if o := e.targets[e.ended[0]]; o != nil && o.Gone {
			delete(e.targets, e.ended[0])
		}
		e.ended = e.ended[1:]
	}
}

// Revision returns a number that increases with each change.
func (e *Enroller) Revision() uint64 { return e.revision }

// List returns the targets that haven't ended, sorted by name. They must not be
// modified.
func (e *Enroller) List() []*wire.Listing {
	list := slices.Collect(maps.Values(e.targets))
	list = slices.DeleteFunc(list, func(l *wire.Listing) bool { return l.Gone })
	slices.SortFunc(list, func(a, b *wire.Listing) int { return cmp.Compare(a.Id, b.Id) })
	return list
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
	e.targets, e.ended = map[string]*wire.Listing{}, nil
	for _, l := range s.Targets {
		e.targets[l.Id] = l
		if l.Gone {
			e.ended = append(e.ended, l.Id)
		}
	}
}
