package publisher

import (
	"sync"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/wire"
)

// keptBytes bounds the changes that are kept, and with them the update that
// brings a watcher up to date. It holds those of some 13,000 changes of one
// account, most of a day at 16,000.
const keptBytes = 4 << 20

// sectionBytes is the memory of a section without its text.
const sectionBytes = 128

// history holds the configuration in force and the changes that led to it.
// The changes are compared once, not for each watcher: with 190,000 accounts
// that takes 50 ms.
type history struct {
	mu      sync.Mutex
	current *configuration.Configuration
	steps   []step
	size    int
}

// step is a change between two versions that were seen one after the other.
type step struct {
	from     uint64
	sections []*wire.Section
	size     int
}

// add takes a configuration that may be nil or known. Of equal ones it keeps
// the last, since the next version shares its accounts with that of the
// controller, which makes them quick to compare.
func (h *history) add(c *configuration.Configuration) {
	if c == nil || h.current != nil && h.current.Version() > c.Version() {
		return
	}
	if h.current != nil && h.current.Version() < c.Version() {
		s := step{from: h.current.Version(), sections: c.Changes(h.current)}
		for _, section := range s.sections {
			s.size += sectionBytes + len(section.Text)
		}
		h.steps = append(h.steps, s)
		h.size += s.size
		for h.size > keptBytes {
			h.size -= h.steps[0].size
			h.steps = h.steps[1:]
		}
	}
	h.current = c
}

// since takes the configuration in force, and returns the newest one, the
// sections that lead to it from a version, and whether they are kept.
func (h *history) since(version uint64, c *configuration.Configuration) (*configuration.Configuration, []*wire.Section, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(c)
	first := len(h.steps)
	for first > 0 && h.steps[first-1].from >= version {
		first--
	}
	if first == len(h.steps) || h.steps[first].from != version {
		return h.current, nil, false
	}
	changes := make([][]*wire.Section, 0, len(h.steps)-first)
	for _, s := range h.steps[first:] {
		changes = append(changes, s.sections)
	}
	if len(changes) == 1 {
		return h.current, changes[0], true
	}
	return h.current, h.current.MergeChanges(changes), true
}
