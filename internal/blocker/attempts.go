package blocker

import (
	"maps"
	"slices"
)

// attempts holds the attempts of one content that run through this instance.
type attempts struct {
	targets map[string]int // number of attempts, by target
	changed chan struct{}  // closed when an attempt ends
}

// AllowedTargets returns the targets that a content may currently be sent to,
// or nil if any target is allowed. The targets it has crashed and those running
// it never exceed CrashLimit. Suspect reports whether it has crashed a target.
// Changed is closed when an attempt of the content ends on this instance.
func (b *Blocker) AllowedTargets(digest []byte) (only []string, suspect bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	crashed := b.crashCount(digest)
	t := b.running[string(digest)]
	if t == nil {
		return nil, crashed > 0, nil
	}
	if crashed+len(t.targets) >= CrashLimit {
		only = slices.Collect(maps.Keys(t.targets))
	}
	return only, crashed > 0, t.changed
}

// BeginAttempt records the start of an attempt on a target and returns a
// function that ends it. ok is false if AllowedTargets excludes the target.
func (b *Blocker) BeginAttempt(digest []byte, target string) (leave func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.running[string(digest)]
	if t == nil {
		t = &attempts{targets: map[string]int{}, changed: make(chan struct{})}
		b.running[string(digest)] = t
	}
	if t.targets[target] == 0 && len(t.targets) > 0 && b.crashCount(digest)+len(t.targets) >= CrashLimit {
		return nil, false
	}
	t.targets[target]++
	return func() { b.endAttempt(string(digest), t, target) }, true
}

func (b *Blocker) endAttempt(digest string, t *attempts, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.targets[target]--; t.targets[target] == 0 {
		delete(t.targets, target)
	}
	if len(t.targets) == 0 {
		delete(b.running, digest)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// crashCount returns the number of targets that a content has crashed.
func (b *Blocker) crashCount(digest []byte) int {
	p := b.entries[string(digest)]
	if p == nil || p.Until <= b.cfg.Now().UnixNano() {
		return 0
	}
	return len(p.Targets)
}
