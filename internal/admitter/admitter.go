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
	// defaultQueue bounds the waiting requests of one account, model and class.
	defaultQueue = 64
	// objective is the service level of the time to the first token.
	objective = 420 * time.Millisecond
	// leastWait and mostWait bound the longest wait of interactive requests,
	// plainWait is that of answers that come as a whole, and serviceWait that
	// of calls to plain services.
	leastWait   = 60 * time.Millisecond
	mostWait    = 300 * time.Millisecond
	plainWait   = 2 * time.Second
	serviceWait = time.Second
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
	// MaxQueued bounds the waiting requests of one account, model and class.
	MaxQueued int
	// MaxWait replaces the longest wait of each class.
	MaxWait map[string]time.Duration
	Now     func() time.Time
}

// Admitter admits requests to models and plain services. It is safe for
// concurrent use.
type Admitter struct {
	cfg Config

	mu    sync.Mutex
	total int // in flight, all models
	whole limit
	lines map[key]*line
}

// key names a line: either is empty.
type key struct{ model, service string }

// New returns an admitter without requests.
func New(cfg Config) *Admitter {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.MaxQueued == 0 {
		cfg.MaxQueued = defaultQueue
	}
	return &Admitter{cfg: cfg, lines: map[key]*line{}}
}

// Admit waits until a request to a model or a service may be sent. The caller
// must call release once the request has ended, and started before that when
// the first token of a stream has come. The error wraps fault.Overloaded if the
// queue is full or the wait would be too long, and fault.Expired if ctx ends
// first; the request must then not be sent. An error with fault.Overloaded has
// a method RetryAfter that returns the expected wait.
func (a *Admitter) Admit(ctx context.Context, model, service, account string, weight int64, class string) (started, release func(), err error) {
	w, longest, err := a.enter(key{model, service}, account, max(weight, 1), class)
	if err != nil {
		return nil, nil, err
	}
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-w.granted:
	case <-timer.C:
		err = a.leave(w, fault.Overloaded)
	case <-ctx.Done():
		err = a.leave(w, fault.Expired)
	}
	if err != nil {
		return nil, nil, err
	}
	return func() { a.start(w.place) }, a.releaser(w.place), nil
}

// Waiting returns the number of waiting requests, Flight of those in flight.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, l := range a.lines {
		n += l.queue.size
	}
	return n
}

// InFlight returns the number of admitted requests that have not ended.
func (a *Admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, l := range a.lines {
		n += l.flight
	}
	return n
}

// enter queues a request and returns its longest wait, or refuses it if it
// would wait longer.
func (a *Admitter) enter(k key, account string, weight int64, class string) (*waiter, time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lines[k]
	if l == nil {
		l = newLine(k.model, k.service)
		a.lines[k] = l
	}
	w := &waiter{account: account, weight: float64(weight), rank: rank(class), granted: make(chan struct{}), place: &place{line: l, class: class}}
	longest := a.longest(l, class)
	// The queue is not empty only while all places are taken.
	if !a.hasRoom(l) || l.queue.size > 0 {
		wait := time.Duration(float64(l.hold.value) * (l.queue.ahead(w) + 1) / float64(max(l.allowed(), 1)))
		if l.queue.length(w) >= a.cfg.MaxQueued || wait > longest {
			return nil, 0, overload(wait)
		}
	}
	l.queue.put(w)
	a.pump()
	return w, longest, nil
}

// leave gives up waiting. It returns nil if the request was admitted
// meanwhile.
func (a *Admitter) leave(w *waiter, kind fault.Kind) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := w.place.line
	if kind == fault.Overloaded {
		a.pump() // the limit may have grown without an event
	}
	if !l.queue.remove(w) {
		return nil
	}
	if kind == fault.Overloaded {
		return overload(l.hold.value)
	}
	return eris.Wrap(kind, "admission")
}

// start records that the answer to a request has begun.
func (a *Admitter) start(p *place) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := p.line.begun[p]; ok {
		p.line.started(p, a.cfg.Now())
	}
}

// releaser returns the function that ends a request once.
func (a *Admitter) releaser(p *place) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			l, now := p.line, a.cfg.Now()
			if _, ok := l.begun[p]; ok {
				l.started(p, now)
			}
			l.flight--
			if l.service == "" {
				a.total--
			}
			l.hold.add(now.Sub(p.start))
			a.pump()
		})
	}
}

// pump admits waiting requests while there is room. The caller holds the lock.
func (a *Admitter) pump() {
	now := a.cfg.Now()
	for _, l := range a.lines {
		l.step(now)
		for l.queue.size > 0 && a.hasRoom(l) {
			w := l.queue.take()
			l.flight++
			if l.service == "" {
				a.total++
			}
			w.place.start = now
			l.begun[w.place] = struct{}{}
			close(w.granted)
		}
	}
}

// hasRoom tells whether one more request may be in flight. A model or service
// without a ready target has room, since the dispatcher refuses its requests
// at once.
func (a *Admitter) hasRoom(l *line) bool {
	switch {
	case a.bound(&l.limit, l.model, l.service) == 0:
		return true
	case l.flight >= l.allowed():
		return false
	}
	return l.service != "" || a.total < max(a.bound(&a.whole, "", ""), 1)
}

// longest returns the longest wait of a class. Of the time to the first token,
// interactive requests leave what the engines have lately needed for theirs.
func (a *Admitter) longest(l *line, class string) time.Duration {
	if d, ok := a.cfg.MaxWait[class]; ok {
		return d
	}
	switch {
	case l.service != "":
		return serviceWait
	case class == "json" || class == "sheet":
		return plainWait
	}
	wait := mostWait
	if m := l.starts[class]; m != nil {
		wait = min(wait, objective-m.high())
	}
	return max(wait, leastWait)
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
