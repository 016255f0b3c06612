package holder

import (
	"context"
	"math"
	"sync"
	"time"
)

// soloAfter is how long a settle waits for a copy.
const soloAfter = 200 * time.Millisecond

// progress is the position up to which at least one copy of the journal is
// durable. In solo mode nobody waits for a copy.
type progress struct {
	mu      sync.Mutex
	copied  uint64
	waited  uint64 // highest position that was waited for
	goal    uint64 // position that ends solo mode
	solo    bool
	sent    map[string]int64 // by holder, time until which it has the records
	changed chan struct{}    // closed at the next change
	wake    chan struct{}    // closed when there is something to copy
}

func newProgress() *progress {
	return &progress{sent: map[string]int64{}, changed: make(chan struct{}), wake: make(chan struct{})}
}

// advance records that a copy is durable before the position. It ends solo mode
// if that covers all that was settled before the previous call, so that the
// mode ends under constant load too. It tells whether solo mode ended.
func (p *progress) advance(position uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if position <= p.copied {
		return false
	}
	p.copied = position
	ended := p.solo && (p.copied >= p.waited || p.goal > 0 && p.copied >= p.goal)
	p.goal = p.waited
	if ended {
		p.solo = false
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return ended
}

// wait returns when a copy is durable before the position, when ctx ends, or in
// solo mode, which it enters after 200 ms. It tells whether it entered solo
// mode.
func (p *progress) wait(ctx context.Context, position uint64) (entered bool) {
	timer := time.NewTimer(soloAfter)
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waited = max(p.waited, position)
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
				p.solo, p.goal = true, 0
			}
			break
		}
	}
	return entered
}

// state returns the copied position, and whether the position is on one disk
// only.
func (p *progress) state(position uint64) (copied uint64, solo bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copied, p.copied < position
}

// has records that a holder has all records until a time.
func (p *progress) has(holder string, until int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[holder] = until
}

// sentUntil returns the time until which all of the holders have the records;
// 0 if that is not known of one.
func (p *progress) sentUntil(holders []string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	until := int64(math.MaxInt64)
	for _, holder := range holders {
		until = min(until, p.sent[holder])
	}
	return until
}

// kick wakes the goroutines that copy.
func (p *progress) kick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}

func (p *progress) notify() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// woken returns a channel that is closed at the next kick. It is taken before
// the journal is read, so that no record is missed.
func (p *progress) woken() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wake
}
