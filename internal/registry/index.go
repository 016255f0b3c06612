package registry

import (
	"slices"
	"strings"

	"github.com/papayapond/papayapond/internal/wire"
)

// index holds the ready targets by zone and by model or service, so that a
// request neither scans nor sorts the table.
type index map[key]*list

// key identifies a list. An empty zone means all zones; without a model and a
// service the list has all ready targets.
type key struct{ zone, model, service string }

// list holds the ready targets of one key.
type list struct {
	key     key
	members []*entry // sorted by name
	// targets caches the targets of the members; nil after a change. It is rebuilt
	// on the next lookup and never modified after that.
	targets []*wire.Target
}

// find returns the targets of a key. The slice is never modified later.
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

// update applies the new state of a target; old is the previous one or nil.
func (x index) update(e *entry, old *wire.Target) {
	isReady := e.target.State == Ready
	if isReady && len(e.lists) > 0 && inSameLists(old, e.target) {
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

// search returns the position of an entry, or where to insert it.
func (l *list) search(e *entry) int {
	i, _ := slices.BinarySearchFunc(l.members, e, func(a, b *entry) int { return strings.Compare(a.name, b.name) })
	return i
}

// keys returns the keys of the lists that a target belongs to, without
// duplicates.
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

// inSameLists reports whether two states of a target belong to the same lists.
func inSameLists(a, b *wire.Target) bool {
	return a.Zone == b.Zone && slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}
