package admitter

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// defaultSlots is assumed for a target that announces none.
	defaultSlots = 16
	// defaultQueue bounds the waiting requests of one account, model and class.
	defaultQueue = 64
	// borrowed is the number of requests per instance and free slot that may
	// go beyond the instance's share. The balancer in front of the instances
	// gives them unequal parts of the traffic.
	borrowed = 2
	// mostBorrowed bounds the limit, relative to the share. Reports come late,
	// so that at the start of a burst all slots look free.
	mostBorrowed = 1.5
	// limitAge bounds the age of a computed limit.
	limitAge = 50 * time.Millisecond
	// smoothing is the weight of the newest holding time in the mean.
	smoothing = 0.05
	// maxRetry bounds the advice for Retry-After.
	maxRetry = 30 * time.Second
)

// Config configures an Admitter.
type Config struct {
	// Zone is the zone of this instance.
	Zone string
	// Ready returns the targets that take new work. Empty arguments don't
	// restrict the list.
	Ready func(zone, model, service string) []*wire.Target
	// Instances returns the number of instances of a zone, or of all zones if
	// zone is empty. They share the slots of the targets.
	Instances func(zone string) int
	// Queue bounds the waiting requests of one account, model and class.
	Queue int
	// Wait replaces the longest wait of each class.
	Wait map[string]time.Duration
	Now  func() time.Time
}

// Admitter admits model requests. It is safe for concurrent use.
type Admitter struct {
	cfg Config

	mu     sync.Mutex
	total  int // in flight, all models
	whole  limit
	models map[string]*line
}

// limit is the bound on the requests in flight, computed from announcements.
type limit struct {
	value int
	until time.Time
}

// line is the state of one model.
type line struct {
	limit  limit
	flight int
	hold   time.Duration // mean time for which a request is in flight
	queue  queue
}

// New returns an admitter without requests.
func New(cfg Config) *Admitter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	return &Admitter{cfg: cfg, models: map[string]*line{}}
}

// Admit waits until the request may be sent. The caller must call release once
// the request has ended. The error wraps fault.Overloaded if the queue is full
// or the wait would be too long, and fault.Expired if ctx ends first; the
// request must then not be sent. An error with fault.Overloaded has a method
// RetryAfter that returns the expected wait.
func (a *Admitter) Admit(ctx context.Context, model, account string, weight int64, class string) (release func(), err error) {
	w, err := a.enter(model, account, max(weight, 1), class)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(a.longest(class))
	defer timer.Stop()
	select {
	case <-w.granted:
		return a.releaser(model), nil
	case <-timer.C:
		err = a.leave(model, w, fault.Overloaded)
	case <-ctx.Done():
		err = a.leave(model, w, fault.Expired)
	}
	if err != nil {
		return nil, err
	}
	return a.releaser(model), nil
}

// Waiting returns the number of waiting requests, Flight of those in flight.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, l := range a.models {
		n += l.queue.size
	}
	return n
}

// Flight returns the number of admitted requests that have not ended.
func (a *Admitter) Flight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// enter queues a request, or refuses it if it would wait too long.
func (a *Admitter) enter(model, account string, weight int64, class string) (*waiter, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.models[model]
	if l == nil {
		l = &line{queue: newQueue()}
		a.models[model] = l
	}
	w := &waiter{account: account, weight: float64(weight), rank: rank(class), granted: make(chan struct{})}
	// The queue is not empty only while all places are taken.
	if bound := min(a.bound(&l.limit, model), a.bound(&a.whole, "")); bound > 0 && (l.queue.size > 0 || !a.hasRoom(model, l)) {
		wait := time.Duration(float64(l.hold) * (l.queue.ahead(w) + 1) / float64(bound))
		if l.queue.length(w) >= a.cfg.Queue || wait > a.longest(class) {
			return nil, overload(wait)
		}
	}
	l.queue.put(w)
	a.pump()
	return w, nil
}

// leave gives up waiting. It returns nil if the request was admitted
// meanwhile.
func (a *Admitter) leave(model string, w *waiter, kind fault.Kind) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.models[model]
	if !l.queue.remove(w) {
		return nil
	}
	if kind == fault.Overloaded {
		return overload(l.hold)
	}
	return eris.Wrap(kind, "admission")
}

// releaser returns the function that ends a request once.
func (a *Admitter) releaser(model string) func() {
	start := a.cfg.Now()
	var once sync.Once
	return func() {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			l := a.models[model]
			l.flight--
			a.total--
			held := a.cfg.Now().Sub(start)
			if l.hold == 0 {
				l.hold = held
			}
			l.hold += time.Duration(smoothing * float64(held-l.hold))
			a.pump()
		})
	}
}

// pump admits waiting requests while there is room. The caller holds the lock.
func (a *Admitter) pump() {
	for model, l := range a.models {
		for l.queue.size > 0 && a.hasRoom(model, l) {
			l.flight++
			a.total++
			close(l.queue.take().granted)
		}
	}
}

// hasRoom tells whether one more request may be in flight. A model without a
// ready target has room, since the dispatcher refuses its requests at once.
func (a *Admitter) hasRoom(model string, l *line) bool {
	bound := a.bound(&l.limit, model)
	return bound == 0 || (l.flight < bound && a.total < max(a.bound(&a.whole, ""), 1))
}

// bound returns the limit of a model, or of all models if model is empty: the
// share of this instance in the slots of its zone and in the free slots of the
// others. The platform's balancer gives zones a part of the traffic that need
// not match their targets. It is 0 if no target is ready.
func (a *Admitter) bound(l *limit, model string) int {
	now := a.cfg.Now()
	if now.Before(l.until) {
		return l.value
	}
	l.value, l.until = 0, now.Add(limitAge)
	var local, remote capacity
	for _, t := range a.cfg.Ready("", model, "") {
		switch {
		case len(t.Models) == 0:
		case t.Zone == a.cfg.Zone:
			local.add(t)
		default:
			remote.add(t)
		}
	}
	all := max(a.cfg.Instances(""), 1)
	if local.slots == 0 {
		l.value = remote.share(all)
		return l.value
	}
	l.value = local.share(max(a.cfg.Instances(a.cfg.Zone), 1)) + remote.free/all
	return l.value
}

// capacity is the sum over some targets.
type capacity struct{ slots, free int }

func (c *capacity) add(t *wire.Target) {
	slots := int(t.Slots)
	if slots == 0 {
		slots = defaultSlots
	}
	c.slots += slots
	c.free += max(0, slots-int(t.Running+t.Waiting))
}

// share returns the limit of one of n instances.
func (c *capacity) share(n int) int {
	total := min(c.slots+borrowed*c.free, int(mostBorrowed*float64(c.slots)))
	return (total + n - 1) / n
}

// longest returns the longest wait of a class.
func (a *Admitter) longest(class string) time.Duration {
	if d, ok := a.cfg.Wait[class]; ok {
		return d
	}
	switch class {
	case "json", "sheet":
		return 2 * time.Second
	}
	// The rest of the 420 ms to the first token is left for the prefill.
	return 300 * time.Millisecond
}

// overloaded is a refusal with the time after which a retry makes sense.
type overloaded struct {
	error
	after time.Duration
}

func overload(wait time.Duration) error {
	after := min(max(wait, time.Second), maxRetry)
	return &overloaded{eris.Wrapf(fault.Overloaded, "expected wait %v", wait.Round(time.Millisecond)), after}
}

// Unwrap returns the error with its kind.
func (o *overloaded) Unwrap() error { return o.error }

// RetryAfter returns the advised pause before a retry.
func (o *overloaded) RetryAfter() time.Duration { return o.after }
