package ejector

import (
	"slices"
	"sync"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// failures in a row eject a target.
	failures = 3
	// A target is slow if its mean time to the first byte is slowFactor times
	// the median of the others and above slowLeast, over slowSamples answers.
	slowFactor  = 4
	slowLeast   = 200 * time.Millisecond
	slowSamples = 10
	// smoothing is the weight of the newest time in the mean.
	smoothing = 0.1
	// firstPause is the time of the first ejection; it doubles up to lastPause
	// while the target stays sick.
	firstPause = 2 * time.Second
	lastPause  = time.Minute
	// probeGap is the time between two offers of a target whose pause is over.
	probeGap = 250 * time.Millisecond
	// retention is the time after which an unused target is forgotten.
	retention = 10 * time.Minute
)

// Config configures an Ejector.
type Config struct {
	Now func() time.Time
}

// Ejector holds the health of targets as this instance sees it. It is safe for
// concurrent use.
type Ejector struct {
	cfg Config

	mu      sync.Mutex
	targets map[string]*health
	ejected int // number of targets that are ejected
	swept   time.Time
}

// health is what is known of one target.
type health struct {
	failed  int // in a row
	first   time.Duration
	samples int
	used    time.Time
	// until is the end of the pause; zero if the target is healthy.
	until time.Time
	pause time.Duration
	// offered is the time of the last offer as a probe.
	offered time.Time
}

// New returns an ejector that takes all targets for healthy.
func New(cfg Config) *Ejector {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Ejector{cfg: cfg, targets: map[string]*health{}}
}

// Filter returns the targets that may get requests. It keeps at least half of
// them, since ejecting more would overload the rest; a common cause such as a
// broken network would otherwise eject them all. A target whose pause is over
// is offered now and then until an answer shows that it is well.
func (e *Ejector) Filter(targets []*wire.Target) []*wire.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ejected == 0 {
		return targets
	}
	now := e.cfg.Now()
	kept := make([]*wire.Target, 0, len(targets))
	var sick []*wire.Target
	for _, t := range targets {
		if h := e.targets[t.Name]; h == nil || h.until.IsZero() {
			kept = append(kept, t)
		} else {
			sick = append(sick, t)
		}
	}
	slices.SortStableFunc(sick, func(a, b *wire.Target) int { return e.targets[a.Name].until.Compare(e.targets[b.Name].until) })
	least := (len(targets) + 1) / 2
	for _, t := range sick {
		h := e.targets[t.Name]
		probe := !now.Before(h.until) && now.Sub(h.offered) >= probeGap
		if probe {
			h.offered = now
		}
		if probe || len(kept) < least {
			kept = append(kept, t)
		}
	}
	return kept
}

// RecordSuccess records a whole answer and the time to its first token, or 0 for an
// answer that came as a whole: its time depends on its length.
func (e *Ejector) RecordSuccess(target string, first time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.find(target)
	h.failed = 0
	if first > 0 {
		h.add(first)
	}
	switch {
	case h.until.IsZero():
		if h.samples >= slowSamples && e.isSlow(target, h.first) {
			e.eject(h)
		}
	case !e.isSlow(target, first):
		e.ejected--
		h.until, h.pause = time.Time{}, 0
		h.first, h.samples = 0, 0
	default:
		e.eject(h)
	}
}

// add takes a time into the mean.
func (h *health) add(first time.Duration) {
	if h.samples == 0 {
		h.first = first
	}
	h.samples++
	h.first += time.Duration(smoothing * float64(first-h.first))
}

// RecordFailure records an attempt that failed through the target's fault.
func (e *Ejector) RecordFailure(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.find(target)
	h.failed++
	if h.failed >= failures || !h.until.IsZero() {
		e.eject(h)
	}
}

// Ejected returns the number of targets that are ejected.
func (e *Ejector) Ejected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ejected
}

// eject starts a pause, or a longer one if a probe after a pause has failed.
// Requests that were sent before the ejection don't prolong it.
func (e *Ejector) eject(h *health) {
	now := e.cfg.Now()
	if now.Before(h.until) {
		return
	}
	if h.until.IsZero() {
		e.ejected++
	}
	h.pause = min(max(2*h.pause, firstPause), lastPause)
	h.until = now.Add(h.pause)
}

// isSlow compares a time with the median of the other targets.
func (e *Ejector) isSlow(target string, first time.Duration) bool {
	if first < slowLeast {
		return false
	}
	var others []time.Duration
	for name, h := range e.targets {
		if name != target && h.samples >= slowSamples {
			others = append(others, h.first)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return first > slowFactor*others[len(others)/2]
}

func (e *Ejector) find(target string) *health {
	now := e.cfg.Now()
	if now.Sub(e.swept) > retention {
		e.swept = now
		for name, h := range e.targets {
			if now.Sub(h.used) > retention {
				if !h.until.IsZero() {
					e.ejected--
				}
				delete(e.targets, name)
			}
		}
	}
	h := e.targets[target]
	if h == nil {
		h = &health{}
		e.targets[target] = h
	}
	h.used = now
	return h
}
