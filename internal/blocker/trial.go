package blocker

import (
	"maps"
	"slices"
)

// trial holds the attempts of one content that run through this instance.
type trial struct {
	targets map[string]int // attempts by target
	changed chan struct{}  // closed when an attempt ends
}

// AllowedTargets returns the only targets that a content may be sent to now, or nil
// if it may be sent to any: the targets that it has crashed and those that run
// it are never more than Limit. Suspect tells that it has crashed a target.
// Changed is closed when an attempt of the content ends here.
func (b *Blocker) AllowedTargets(digest []byte) (only []string, suspect bool, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	crashed := b.crashed(digest)
	t := b.trials[string(digest)]
	if t == nil {
		return nil, crashed > 0, nil
	}
	if crashed+len(t.targets) >= CrashLimit {
		only = slices.Collect(maps.Keys(t.targets))
	}
	return only, crashed > 0, t.changed
}

// BeginAttempt records that an attempt of a content begins on a target, and returns
// the function that ends it. It is not ok if Confine rules the target out.
func (b *Blocker) BeginAttempt(digest []byte, target string) (leave func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.trials[string(digest)]
	if t == nil {
		t = &trial{targets: map[string]int{}, changed: make(chan struct{})}
		b.trials[string(digest)] = t
	}
	if t.targets[target] == 0 && len(t.targets) > 0 && b.crashed(digest)+len(t.targets) >= CrashLimit {
		return nil, false
	}
	t.targets[target]++
	return func() { b.leave(string(digest), t, target) }, true
}

func (b *Blocker) leave(digest string, t *trial, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.targets[target]--; t.targets[target] == 0 {
		delete(t.targets, target)
	}
	if len(t.targets) == 0 {
		delete(b.trials, digest)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// crashed returns the number of targets that a content has crashed.
func (b *Blocker) crashed(digest []byte) int {
	p := b.entries[string(digest)]
	if p == nil || p.Until <= b.cfg.Now().UnixNano() {
		return 0
	}
	return len(p.Targets)
}
