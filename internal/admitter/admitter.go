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
	// defaultMaxQueued is the default of Config.MaxQueued.
	defaultMaxQueued = 64
	// latencyObjective is the service level objective for the time to the first
	// token.
	latencyObjective = 420 * time.Millisecond
	// minInteractiveWait and maxInteractiveWait bound the maximum wait of
	// interactive requests. maxPlainWait is that of requests whose responses
	// are not streams, and maxServiceWait that of plain service calls.
	minInteractiveWait = 60 * time.Millisecond
	maxInteractiveWait = 300 * time.Millisecond
	maxPlainWait       = 2 * time.Second
	maxServiceWait     = time.Second
	// maxRetryAfter limits the Retry-After value.
	maxRetryAfter = 30 * time.Second
)

// Config configures an Admitter.
type Config struct {
	// Zone is the zone of this instance.
	Zone string
	// Ready returns the targets that accept new requests. Empty arguments match
	// everything.
	Ready func(zone, model, service string) []*wire.Target
	// Instances returns the number of instances in a zone, or in all zones if
	// zone is empty. They share the slots of the targets.
	Instances func(zone string) int
	// MaxQueued limits the queued requests per account, model and class.
	MaxQueued int
	// MaxWait overrides the maximum wait, by class.
	MaxWait map[string]time.Duration
	Now     func() time.Time
}

// Admitter admits requests to models and plain services. It is safe for
// concurrent use.
type Admitter struct {
	cfg Config

	mu             sync.Mutex
	modelsInFlight int // all models
	totalLimit     limit
	resources      map[key]*resource
}

// key identifies a resource. Exactly one field is set.
type key struct{ model, service string }

// New returns an Admitter without requests.
func New(cfg Config) *Admitter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	return &Admitter{cfg: cfg, resources: map[key]*resource{}}
}

// Admit waits until a request to a model or a service may be sent. The caller
// must call release when the request ends, and before that started when the
// first token of a stream arrives. The error wraps fault.Overloaded if the
// queue is full or the wait would be too long, and fault.Expired if ctx ends
// first; the request must then not be sent. An error that wraps
// fault.Overloaded has a method RetryAfter that returns the expected wait.
func (a *Admitter) Admit(ctx context.Context, model, service, account string, weight int64, class string) (started, release func(), err error) {
	w, longest, err := a.enqueue(key{model, service}, account, max(weight, 1), class)
	if err != nil {
		return nil, nil, err
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-w.granted:
	case <-timer.C:
		err = a.abandon(w, fault.Overloaded)
	case <-ctx.Done():
		err = a.abandon(w, fault.Expired)
	}
	if err != nil {
		return nil, nil, err
	}
	return func() { a.markStarted(w.admission) }, a.releaser(w.admission), nil
}

// Waiting returns the number of queued requests.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.resources {
		n += r.queue.size
	}
	return n
}

// InFlight returns the number of admitted requests that have not ended.
func (a *Admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, r := range a.resources {
		n += r.inFlight
	}
	return n
}

// enqueue queues a request and returns its maximum wait, or rejects it if the
// expected wait is longer.
func (a *Admitter) enqueue(k key, account string, weight int64, class string) (*waiter, time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := a.resources[k]
	if r == nil {
		r = newResource(k.model, k.service)
		a.resources[k] = r
	}
	w := &waiter{account: account, weight: float64(weight), rank: rankOf(class), granted: make(chan struct{}), admission: &admission{resource: r, class: class}}
	longest := a.maxWait(r, class)
	// The queue is non-empty only while all slots are in use.
	if !a.hasCapacity(r) || r.queue.size > 0 {
		wait := time.Duration(float64(r.duration.value) * (r.queue.ahead(w) + 1) / float64(max(r.allowed(), 1)))
		if r.queue.accountLength(w) >= a.cfg.MaxQueued || wait > longest {
			return nil, 0, newOverloaded(wait)
		}
	}
	r.queue.push(w)
	a.dispatch()
	return w, longest, nil
}

// abandon removes a request from the queue. It returns nil if the request has
// been admitted in the meantime.
func (a *Admitter) abandon(w *waiter, kind fault.Kind) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := w.admission.resource
	if kind == fault.Overloaded {
		a.dispatch() // the limit may have grown without an event
	}
	if !r.queue.remove(w) {
		return nil
	}
	if kind == fault.Overloaded {
		return newOverloaded(r.duration.value)
	}
	return eris.Wrap(kind, "admission")
}

// markStarted records that the response to a request has started.
func (a *Admitter) markStarted(adm *admission) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := adm.resource.unstarted[adm]; ok {
		adm.resource.started(adm, a.cfg.Now())
	}
}

// releaser returns a function that ends a request once.
func (a *Admitter) releaser(adm *admission) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			r, now := adm.resource, a.cfg.Now()
			if _, ok := r.unstarted[adm]; ok {
				r.started(adm, now)
			}
			r.inFlight--
			if r.service == "" {
				a.modelsInFlight--
			}
			r.duration.add(now.Sub(adm.start))
			a.dispatch()
		})
	}
}

// dispatch admits queued requests while there is capacity. The caller holds mu.
func (a *Admitter) dispatch() {
	now := a.cfg.Now()
	for _, r := range a.resources {
		r.step(now)
		for r.queue.size > 0 && a.hasCapacity(r) {
			w := r.queue.pop()
			r.inFlight++
			if r.service == "" {
				a.modelsInFlight++
			}
			w.admission.start = now
			r.unstarted[w.admission] = struct{}{}
			close(w.granted)
		}
	}
}

// hasCapacity reports whether another request may be in flight. A model or
// service without a ready target has capacity, since the dispatcher rejects its
// requests immediately.
func (a *Admitter) hasCapacity(r *resource) bool {
	switch {
	case a.currentLimit(&r.limit, r.model, r.service) == 0:
		return true
	case r.inFlight >= r.allowed():
		return false
	}
	return r.service != "" || a.modelsInFlight < max(a.currentLimit(&a.totalLimit, "", ""), 1)
}

// maxWait returns the maximum wait of a class. For interactive requests it is
// the latency objective minus the time that engines have recently needed for
// the first token.
func (a *Admitter) maxWait(r *resource, class string) time.Duration {
	if d, ok := a.cfg.MaxWait[class]; ok {
		return d
	}
	switch {
	case r.service != "":
		return maxServiceWait
	case class == "json" || class == "sheet":
		return maxPlainWait
	}
	wait := maxInteractiveWait
	if m := r.firstTokens[class]; m != nil {
		wait = min(wait, latencyObjective-m.upperBound())
	}
	return max(wait, minInteractiveWait)
}

// overloaded is a rejection with a retry delay.
type overloaded struct {
	error
	after time.Duration
}

func newOverloaded(wait time.Duration) error {
	after := min(max(wait, time.Second), maxRetryAfter)
	return &overloaded{eris.Wrapf(fault.Overloaded, "expected wait %v", wait.Round(time.Millisecond)), after}
}

// Unwrap returns the wrapped error.
func (o *overloaded) Unwrap() error { return o.error }

// RetryAfter returns the recommended delay before a retry.
func (o *overloaded) RetryAfter() time.Duration { return o.after }
