package blocker

import (
	"slices"
	"sync"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// CrashLimit is the number of distinct targets that may crash while running
	// the same content before the content is blocked.
	CrashLimit = 2
	// Retention is the time for which a content stays suspect or blocked.
	Retention = 10 * time.Minute
	// capacity bounds the table; the entry that ends first is dropped.
	capacity = 4096
)

// Config configures a Blocker.
type Config struct {
	// Now returns the current time.
	Now func() time.Time
}

// Blocker counts the distinct targets that crashed under each content. It is
// safe for concurrent use.
//
// A crash blames every request that was running on the target. An innocent
// request is cleared when any target answers it whole, and its retries run on
// other targets, so it doesn't reach the limit unless it crashes them itself.
type Blocker struct {
	cfg     Config
	mu      sync.Mutex
	entries map[string]*wire.Poison
	fresh   map[string]bool
	trials  map[string]*trial // of contents that run
	// changes numbers the changes; order holds the number of the last change
	// of each entry, and changed is closed at the next one.
	changes uint64
	order   map[string]uint64
	changed chan struct{}
}

// New returns an empty blocker.
func New(cfg Config) *Blocker {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Blocker{cfg: cfg, entries: map[string]*wire.Poison{}, fresh: map[string]bool{}, trials: map[string]*trial{}, order: map[string]uint64{}, changed: make(chan struct{})}
}

// IsBlocked tells whether the content has reached the limit.
func (b *Blocker) IsBlocked(digest []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashed(digest) >= CrashLimit
}

// RecordCrash records that a target crashed while it ran the content. Target names
// an incarnation of a target, so that one target that crashes twice counts
// twice.
func (b *Blocker) RecordCrash(digest []byte, target string) {
	b.Merge([]*wire.Poison{{Digest: digest, Targets: []string{target}, Until: b.cfg.Now().Add(Retention).UnixNano()}})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fresh[string(digest)] = true
}

// Clear forgets a content that a target has answered whole.
func (b *Blocker) Clear(digest []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.entries[string(digest)]; p != nil && len(p.Targets) < CrashLimit {
		delete(b.entries, string(digest))
		delete(b.order, string(digest))
		delete(b.fresh, string(digest))
	}
}

// Merge takes what other instances have recorded.
func (b *Blocker) Merge(poisons []*wire.Poison) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range poisons {
		own := b.entries[string(p.Digest)]
		if own == nil {
			b.makeRoom()
			own = &wire.Poison{Digest: p.Digest}
			b.entries[string(p.Digest)] = own
		}
		targets := slices.Clone(own.Targets)
		for _, t := range p.Targets {
			if !slices.Contains(targets, t) {
				targets = append(targets, t)
				b.fresh[string(p.Digest)] = true
			}
		}
		if len(targets) == len(own.Targets) {
			continue
		}
		b.entries[string(p.Digest)] = &wire.Poison{Digest: p.Digest, Targets: targets, Until: max(own.Until, p.Until)}
		b.changes++
		b.order[string(p.Digest)] = b.changes
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// TakeChanges returns what has changed since the last call, for the next message to
// the holder.
func (b *Blocker) TakeChanges() []*wire.Poison {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ps []*wire.Poison
	for digest := range b.fresh {
		if p := b.entries[digest]; p != nil {
			ps = append(ps, p)
		}
	}
	clear(b.fresh)
	return ps
}

// ChangesSince returns the entries that changed after the given number, the present
// number, and a channel that is closed at the next change.
func (b *Blocker) ChangesSince(number uint64) ([]*wire.Poison, uint64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now().UnixNano()
	var ps []*wire.Poison
	for digest, p := range b.entries {
		if b.order[digest] > number && p.Until > now {
			ps = append(ps, p)
		}
	}
	return ps, b.changes, b.changed
}

func (b *Blocker) makeRoom() {
	if len(b.entries) < capacity {
		return
	}
	now := b.cfg.Now().UnixNano()
	first := ""
	for digest, p := range b.entries {
		if p.Until <= now {
			delete(b.entries, digest)
			delete(b.order, digest)
			continue
		}
		if first == "" || p.Until < b.entries[first].Until {
			first = digest
		}
	}
	if len(b.entries) >= capacity {
		delete(b.entries, first)
		delete(b.order, first)
	}
}
