package holder

import (
	"context"
	"math"
	"sync"
	"time"
)

// soloTimeout is how long a settle waits for a copy before solo mode begins.
const soloTimeout = 200 * time.Millisecond

// progress tracks the position before which at least one copy of the journal is
// durable. In solo mode no call waits for a copy.
type progress struct {
	mu        sync.Mutex
	copied    uint64
	maxWaited uint64 // highest position that a call waited for
	soloEnd   uint64 // copied position that ends solo mode
	solo      bool
	sent      map[string]int64 // by holder, the time up to which it has the records
	changed   chan struct{}    // closed at the next change
	wake      chan struct{}    // closed when there is something to copy
}

func newProgress() *progress {
	return &progress{sent: map[string]int64{}, changed: make(chan struct{}), wake: make(chan struct{})}
}

// advance records that a copy is durable before the position, and reports
// whether that ended solo mode. Solo mode ends when the copy covers everything
// settled before the previous call, so that it also ends under constant load.
func (p *progress) advance(position uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if position <= p.copied {
		return false
	}
	p.copied = position
	ended := p.solo && (p.copied >= p.maxWaited || p.soloEnd > 0 && p.copied >= p.soloEnd)
	p.soloEnd = p.maxWaited
	if ended {
		p.solo = false
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return ended
}

// wait returns when a copy is durable before the position, when ctx ends, or in
// solo mode. It enters solo mode after 200 ms and reports whether it did.
func (p *progress) wait(ctx context.Context, position uint64) (entered bool) {
	timer := time.NewTimer(soloTimeout)
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxWaited = max(p.maxWaited, position)
	p.notify()
	for p.copied < position && !p.solo && ctx.Err() == nil {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			entered = true
		case <-ctx.Done():
		}
		p.mu.Lock()
		if entered {
			entered = p.copied < position && !p.solo
			if entered {
				p.solo, p.soloEnd = true, 0
			}
			break
		}
	}
	return entered
}

// state returns the copied position, and whether records before the given
// position are on one disk only.
func (p *progress) state(position uint64) (copied uint64, solo bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copied, p.copied < position
}

// markSent records that a holder has all records up to a time.
func (p *progress) markSent(holder string, until int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[holder] = until
}

// sentUntil returns the time up to which all of the holders have the records,
// or 0 if that is unknown for one of them.
func (p *progress) sentUntil(holders []string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := int64(math.MaxInt64)
	for _, holder := range holders {
		until = min(until, p.sent[holder])
	}
	return until
}

// wakeCopiers wakes the goroutines that copy the journal.
func (p *progress) wakeCopiers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}

func (p *progress) notify() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// wakeChannel returns a channel that is closed by the next wakeCopiers or wait.
// Get it before reading the journal, so that no record is missed.
func (p *progress) wakeChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wake
}
