package ejector

import (
	"slices"
	"sync"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// failureLimit is the number of consecutive failures after which a target
	// is ejected.
	failureLimit = 3
	// A target is slow if its mean time to the first byte is more than
	// slowFactor times the median of the others and at least slowMinimum, over
	// at least slowSamples responses.
	slowFactor  = 4
	slowMinimum = 200 * time.Millisecond
	slowSamples = 10
	// smoothing is the weight of the newest sample in the mean.
	smoothing = 0.1
	// minEjection is the duration of the first ejection. It doubles up to
	// maxEjection while the target stays unhealthy.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// probeInterval is the minimum time between two probes of a target after
	// its ejection.
	probeInterval = 250 * time.Millisecond
	// retention is the time after which an unused target is forgotten.
	retention = 10 * time.Minute
)

// Config configures an Ejector.
type Config struct {
	Now func() time.Time
}

// Ejector tracks the health of targets as seen by this instance. It is safe for
// concurrent use.
type Ejector struct {
	cfg Config

	mu        sync.Mutex
	targets   map[string]*health
	ejected   int // number of ejected targets
	lastSweep time.Time
}

// health is the state of one target.
type health struct {
	failures       int // consecutive
	meanFirstToken time.Duration
	samples        int
	lastUsed       time.Time
	// ejectedUntil is the end of the ejection; zero if the target is healthy.
	ejectedUntil time.Time
	ejection     time.Duration
	// lastProbe is the last time the target was offered as a probe.
	lastProbe time.Time
}

// New returns an Ejector that considers all targets healthy.
func New(cfg Config) *Ejector {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Ejector{cfg: cfg, targets: map[string]*health{}}
}

// Filter returns the targets that may get requests. It keeps at least half of
// them: ejecting more would overload the rest, and a common cause such as a
// network failure would eject all. After its ejection, a target is returned
// once per probeInterval until a response shows that it is healthy.
func (e *Ejector) Filter(targets []*wire.Target) []*wire.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ejected == 0 {
		return targets
	}
	now := e.cfg.Now()
	available := make([]*wire.Target, 0, len(targets))
	var unhealthy []*wire.Target
	for _, t := range targets {
		if h := e.targets[t.Name]; h == nil || h.ejectedUntil.IsZero() {
			available = append(available, t)
		} else {
			unhealthy = append(unhealthy, t)
		}
	}
	slices.SortStableFunc(unhealthy, func(a, b *wire.Target) int {
		return e.targets[a.Name].ejectedUntil.Compare(e.targets[b.Name].ejectedUntil)
	})
	least := (len(targets) + 1) / 2
	for _, t := range unhealthy {
		h := e.targets[t.Name]
		probe := !now.Before(h.ejectedUntil) && now.Sub(h.lastProbe) >= probeInterval
		if probe {
			h.lastProbe = now
		}
		if probe || len(available) < least {
			available = append(available, t)
		}
	}
	return available
}

// RecordSuccess records a complete response and the time to its first token.
// Pass 0 for a response that is not a stream, since its time depends on its
// length.
func (e *Ejector) RecordSuccess(target string, first time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.touch(target)
	h.failures = 0
	if first > 0 {
		h.addSample(first)
	}
	switch {
	case h.ejectedUntil.IsZero():
		if h.samples >= slowSamples && e.isSlow(target, h.meanFirstToken) {
			e.eject(h)
		}
	case !e.isSlow(target, first):
		e.ejected--
		h.ejectedUntil, h.ejection = time.Time{}, 0
		h.meanFirstToken, h.samples = 0, 0
	default:
		e.eject(h)
	}
}

// addSample adds a time to the mean.
func (h *health) addSample(first time.Duration) {
	if h.samples == 0 {
		h.meanFirstToken = first
	}
	h.samples++
	h.meanFirstToken += time.Duration(smoothing * float64(first-h.meanFirstToken))
}

// RecordFailure records an attempt that failed because of the target.
func (e *Ejector) RecordFailure(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.touch(target)
	h.failures++
	if h.failures >= failureLimit || !h.ejectedUntil.IsZero() {
		e.eject(h)
	}
}

// Ejected returns the number of ejected targets.
func (e *Ejector) Ejected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ejected
}

// eject ejects a target, for longer if a probe has failed. Results of requests
// sent before the ejection do not extend it.
func (e *Ejector) eject(h *health) {
	now := e.cfg.Now()
	if now.Before(h.ejectedUntil) {
		return
	}
	if h.ejectedUntil.IsZero() {
		e.ejected++
	}
	h.ejection = min(max(2*h.ejection, minEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejection)
}

// isSlow reports whether a time is much longer than the median of the other
// targets.
func (e *Ejector) isSlow(target string, first time.Duration) bool {
	if first < slowMinimum {
		return false
	}
	var others []time.Duration
	for name, h := range e.targets {
		if name != target && h.samples >= slowSamples {
			others = append(others, h.meanFirstToken)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return first > slowFactor*others[len(others)/2]
}

func (e *Ejector) touch(target string) *health {
	now := e.cfg.Now()
	if now.Sub(e.lastSweep) > retention {
		e.lastSweep = now
		for name, h := range e.targets {
			if now.Sub(h.lastUsed) > retention {
				if !h.ejectedUntil.IsZero() {
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
	h.lastUsed = now
	return h
}
