package registry

import (
	"slices"
	"strings"

	"github.com/papayapond/papayapond/internal/wire"
)

// index holds the targets that take new work by zone and by what they serve,
// so that a request neither scans nor sorts the table.
type index map[key]*list

// key names a list. An empty zone stands for all zones; without model and
// service the list has all targets.
type key struct{ zone, model, service string }

// list holds the targets of one key.
type list struct {
	key     key
	members []*entry // sorted by name
	// targets are those of the members. They are made anew when they are asked
	// for after a change, and never written again. Nil means that they are not
	// made yet.
	targets []*wire.Target
}

// find returns a list that stays as it is.
func (x index) find(k key) []*wire.Target {
	l := x[k]
	if l == nil {
		return nil
	}
	if l.targets == nil {
		l.targets = make([]*wire.Target, len(l.members))
		for i, e := range l.members {
			l.targets[i] = e.target
		}
	}
	return l.targets
}

// update enters the new state of a target. Old is its state before, or nil.
func (x index) update(e *entry, old *wire.Target) {
	isReady := e.target.State == Ready
	if isReady && len(e.lists) > 0 && isAlike(old, e.target) {
		for _, l := range e.lists {
			l.targets = nil
		}
		return
	}
	x.remove(e)
	if isReady {
		x.add(e)
	}
}

func (x index) add(e *entry) {
	for _, k := range keys(e.target) {
		l := x[k]
		if l == nil {
			l = &list{key: k}
			x[k] = l
		}
		l.members = slices.Insert(l.members, l.search(e), e)
		l.targets = nil
		e.lists = append(e.lists, l)
	}
}

func (x index) remove(e *entry) {
	for _, l := range e.lists {
		i := l.search(e)
		l.members = slices.Delete(l.members, i, i+1)
		l.targets = nil
		if len(l.members) == 0 {
			delete(x, l.key)
		}
	}
	e.lists = nil
}

// search returns the place of an entry.
func (l *list) search(e *entry) int {
	i, _ := slices.BinarySearchFunc(l.members, e, func(a, b *entry) int { return strings.Compare(a.name, b.name) })
	return i
}

// keys returns the lists that a target belongs to, each once.
func keys(t *wire.Target) []key {
	var all []key
	add := func(model, service string) {
		if k := (key{t.Zone, model, service}); !slices.Contains(all, k) {
			all = append(all, k)
			if t.Zone != "" {
				all = append(all, key{"", model, service})
			}
		}
	}
	add("", "")
	for _, m := range t.Models {
		add(m, "")
	}
	for _, s := range t.Services {
		add("", s)
	}
	return all
}

// isAlike tells whether two states of a target belong to the same lists.
func isAlike(a, b *wire.Target) bool {
	return a.Zone == b.Zone && slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}
