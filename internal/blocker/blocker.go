package blocker

import (
	"slices"
	"sync"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// CrashLimit is the number of distinct targets that must crash while
	// running the same content before it is blocked.
	CrashLimit = 2
	// Retention is how long a content stays suspect or blocked.
	Retention = 10 * time.Minute
	// maxEntries limits the table. When it is full, the entry that expires
	// first is evicted.
	maxEntries = 4096
)

// Config configures a Blocker.
type Config struct {
	// Now returns the current time. It defaults to time.Now.
	Now func() time.Time
}

// Blocker counts the distinct targets that crashed while running each content.
// It is safe for concurrent use.
//
// A crash is attributed to every request running on the target. An innocent
// request is cleared when any target completes it. Its retries run on other
// targets, so it does not reach the limit unless it crashes them itself.
type Blocker struct {
	cfg     Config
	mu      sync.Mutex
	entries map[string]*wire.Poison
	unsent  map[string]bool
	running map[string]*attempts // attempts in flight, by digest
	// version counts the changes. versions holds the version of the last change
	// of each entry, and changed is closed at the next change.
	version  uint64
	versions map[string]uint64
	changed  chan struct{}
}

// New returns an empty Blocker.
func New(cfg Config) *Blocker {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Blocker{cfg: cfg, entries: map[string]*wire.Poison{}, unsent: map[string]bool{}, running: map[string]*attempts{}, versions: map[string]uint64{}, changed: make(chan struct{})}
}

// IsBlocked reports whether the content has reached the crash limit.
func (b *Blocker) IsBlocked(digest []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashCount(digest) >= CrashLimit
}

// RecordCrash records that a target crashed while running the content. The
// target name includes its incarnation, so that one target that crashes twice
// counts twice.
func (b *Blocker) RecordCrash(digest []byte, target string) {
	b.Merge([]*wire.Poison{{Digest: digest, Targets: []string{target}, Until: b.cfg.Now().Add(Retention).UnixNano()}})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsent[string(digest)] = true
}

// Clear forgets a content that a target has completed, unless it is blocked.
func (b *Blocker) Clear(digest []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.entries[string(digest)]; p != nil && len(p.Targets) < CrashLimit {
		delete(b.entries, string(digest))
		delete(b.versions, string(digest))
		delete(b.unsent, string(digest))
	}
}

// Merge adds crashes recorded by other instances.
func (b *Blocker) Merge(poisons []*wire.Poison) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range poisons {
		own := b.entries[string(p.Digest)]
		if own == nil {
			b.evict()
			own = &wire.Poison{Digest: p.Digest}
			b.entries[string(p.Digest)] = own
		}
		targets := slices.Clone(own.Targets)
		for _, t := range p.Targets {
			if !slices.Contains(targets, t) {
				targets = append(targets, t)
				b.unsent[string(p.Digest)] = true
			}
		}
		if len(targets) == len(own.Targets) {
			continue
		}
		b.entries[string(p.Digest)] = &wire.Poison{Digest: p.Digest, Targets: targets, Until: max(own.Until, p.Until)}
		b.version++
		b.versions[string(p.Digest)] = b.version
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// TakeChanges returns the entries changed since the last call, for the next
// message to the holder.
func (b *Blocker) TakeChanges() []*wire.Poison {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ps []*wire.Poison
	for digest := range b.unsent {
		if p := b.entries[digest]; p != nil {
			ps = append(ps, p)
		}
	}
	clear(b.unsent)
	return ps
}

// ChangesSince returns the entries changed after the given version, the current
// version, and a channel that is closed at the next change.
func (b *Blocker) ChangesSince(number uint64) ([]*wire.Poison, uint64, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now().UnixNano()
	var ps []*wire.Poison
	for digest, p := range b.entries {
		if b.versions[digest] > number && p.Until > now {
			ps = append(ps, p)
		}
	}
	return ps, b.version, b.changed
}

func (b *Blocker) evict() {
	if len(b.entries) < maxEntries {
		return
	}
	now := b.cfg.Now().UnixNano()
	first := ""
	for digest, p := range b.entries {
		if p.Until <= now {
			delete(b.entries, digest)
			delete(b.versions, digest)
			continue
		}
		if first == "" || p.Until < b.entries[first].Until {
			first = digest
		}
	}
	if len(b.entries) >= maxEntries {
		delete(b.entries, first)
		delete(b.versions, first)
	}
}

// Restore makes the next TakeChanges return entries again that couldn't be sent.
func (b *Blocker) Restore(poisons []*wire.Poison) {
	b.Merge(poisons)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range poisons {
		if b.entries[string(p.Digest)] != nil {
			b.unsent[string(p.Digest)] = true
		}
	}
}
