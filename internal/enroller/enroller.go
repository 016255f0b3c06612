package enroller

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// maxGone bounds the lifetimes that are remembered after they have ended, so
// that a late announcement doesn't bring them back.
const maxGone = 4096

// Enroller is the list of targets. It isn't safe for concurrent use.
type Enroller struct {
	revision uint64
	targets  map[string]*wire.Listing
	gone     []string // names of ended lifetimes, oldest first
}

// New returns an empty list.
func New() *Enroller {
	return &Enroller{targets: map[string]*wire.Listing{}}
}

// Changes reports whether an announcement changes the list.
func (e *Enroller) Changes(l *wire.Listing) bool {
	old := e.targets[l.Id]
	if old == nil {
		return !e.outlived(l)
	}
	if old.Born > l.Born && l.Born > 0 {
		return false
	}
	if old.Born < l.Born {
		return !e.outlived(l)
	}
	if old.Gone || l.Sequence < old.Sequence && !l.Gone {
		return false
	}
	return l.Gone || l.Leaving && !old.Leaving ||
		!old.Leaving && !l.Leaving && (old.Address != l.Address || old.Pool != l.Pool || old.Capacity != l.Capacity || old.Zone != l.Zone)
}

// Known reports whether an announcement is of a lifetime that is listed.
func (e *Enroller) Known(l *wire.Listing) bool {
	old := e.targets[l.Id]
	return old != nil && !old.Gone && (l.Born == 0 || old.Born == l.Born)
}

// outlived reports whether a younger lifetime holds the address.
func (e *Enroller) outlived(l *wire.Listing) bool {
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

// Apply applies an announcement. Equal sequences of calls give equal states.
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
	next.Leaving = next.Leaving || old != nil && old.Born == l.Born && old.Leaving
	e.targets[l.Id] = next
}

// end remembers that a lifetime has ended.
func (e *Enroller) end(l, old *wire.Listing) {
	next := &wire.Listing{Id: l.Id, Born: l.Born, Sequence: l.Sequence, Gone: true}
	if old != nil {
		next.Born = max(l.Born, old.Born)
		next.Address, next.Pool, next.Zone = old.Address, old.Pool, old.Zone
	}
	e.targets[l.Id] = next
	e.gone = append(e.gone, l.Id)
	for len(e.gone) > maxGone {
		if o := e.targets[e.gone[0]]; o != nil && o.Gone {
			delete(e.targets, e.gone[0])
		}
		e.gone = e.gone[1:]
	}
}

// Revision rises with each change of the list.
func (e *Enroller) Revision() uint64 { return e.revision }

// List returns the targets that have not ended, by name. They must not be
// changed.
func (e *Enroller) List() []*wire.Listing {
	list := slices.Collect(maps.Values(e.targets))
	list = slices.DeleteFunc(list, func(l *wire.Listing) bool { return l.Gone })
	slices.SortFunc(list, func(a, b *wire.Listing) int { return cmp.Compare(a.Id, b.Id) })
	return list
}

// Save writes the state into a snapshot.
func (e *Enroller) Save(s *wire.CoreState) {
	s.Roster = e.revision
	for _, id := range slices.Sorted(maps.Keys(e.targets)) {
		s.Targets = append(s.Targets, e.targets[id])
	}
}

// Load replaces the state by that of a snapshot.
func (e *Enroller) Load(s *wire.CoreState) {
	e.revision = s.Roster
	e.targets, e.gone = map[string]*wire.Listing{}, nil
	for _, l := range s.Targets {
		e.targets[l.Id] = l
		if l.Gone {
			e.gone = append(e.gone, l.Id)
		}
	}
}
