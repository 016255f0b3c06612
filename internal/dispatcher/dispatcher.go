package dispatcher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// RequestHeader is the header with the ID of an attempt. The target echoes it
// in its response.
const RequestHeader = "X-Request-Id"

const (
	dialTimeout = time.Second
	// keepAlivePeriod is the TCP keep-alive period, which detects connections
	// that a middlebox has dropped silently.
	keepAlivePeriod = 5 * time.Second
	// maxAttempts is the maximum number of targets that a request is sent to.
	maxAttempts = 3
	// blockPropagationTime is the time within which all reachable instances
	// learn of blocked content: it passes over two streams, each of which sends
	// updates every 50 ms.
	blockPropagationTime = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the delay between two attempts.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// defaultReadIdleTimeout is the default of Config.ReadIdleTimeout.
	defaultReadIdleTimeout = time.Second
)

// Config configures a Dispatcher.
type Config struct {
	// Pick chooses a target for a prompt. The caller calls done when it no
	// longer uses the target.
	Pick func(model, service string, prompt []byte, allowed func(target string) bool) (target *wire.Target, done func(), err error)
	// Restrict returns the only targets that content may currently be sent to
	// (nil if it isn't restricted), whether it is suspected of crashing targets,
	// and a channel that is closed when this may have changed. BeginAttempt
	// records an attempt until leave is called; it is not ok if the target has
	// been ruled out in the meantime. Trial chooses the target for suspect
	// content. If Restrict is nil, content may run on any number of targets.
	Restrict     func(digest []byte) (only []string, suspect bool, changed <-chan struct{})
	BeginAttempt func(digest []byte, target string) (leave func(), ok bool)
	Trial        func(model, service string, digest []byte, allowed func(target string) bool) (target *wire.Target, done func(), err error)
	// Blocked reports whether content must no longer be sent.
	Blocked func(digest []byte) bool
	// RecordCrash records that a target crashed while running content, Clear
	// that a target has responded to it.
	RecordCrash func(digest []byte, target string)
	Clear       func(digest []byte)
	// CountJob counts a job, AllowRetry reports whether another attempt is
	// within the retry budget. If nil, retries are not limited.
	CountJob   func()
	AllowRetry func() bool
	// RecordSuccess and RecordFailure record the health of a target. They may be
	// nil. First is the time to the first token of a stream, 0 for other
	// responses.
	RecordSuccess func(target string, first time.Duration)
	RecordFailure func(target string)
	// ReadIdleTimeout is the time without received data after which a connection
	// is probed. Other timeouts are multiples of it. The default is one second.
	ReadIdleTimeout time.Duration
	// Dial replaces the default TCP dialer if it isn't nil.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *zap.Logger
}

// Job is a request to be sent.
type Job struct {
	// ID identifies the request towards targets. Attempt IDs are derived from it.
	ID string
	// RequestID is the ID that the caller knows. Log lines contain it, so that
	// all lines of a request can be found.
	RequestID string
	// Model or Service names what the target must serve.
	Model, Service string
	// Allowed reports whether the account may use a target.
	Allowed func(target string) bool
	Method  string
	// Path is the path and query at the target.
	Path   string
	Header http.Header
	Body   []byte
	// Prompt is the text whose prefix is used to choose a target. It may be nil.
	Prompt []byte
	// Digest is the digest of the content.
	Digest []byte
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Progress returns the number of content events of a stream that have been
	// consumed. The stream is resumed from there on a new connection if its
	// connection stalls. It is nil for other jobs.
	Progress func() int
}

// Dispatcher sends requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	cfg Config
	// unpooled opens a connection for each request. On a reused connection that
	// turns out to be closed, net/http resends the request on its own, which
	// must not happen to one that isn't idempotent.
	unpooled *http.Transport

	mu    sync.Mutex
	pools map[string]*pool // by address
}

// New returns a Dispatcher.
func New(cfg Config) *Dispatcher {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
		cfg.Dial = d.DialContext
	}
	if cfg.ReadIdleTimeout == 0 {
		cfg.ReadIdleTimeout = defaultReadIdleTimeout
	}
	return &Dispatcher{cfg: cfg, unpooled: newTransport(cfg, true), pools: map[string]*pool{}}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.unpooled.CloseIdleConnections()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.close()
	}
}

// Do sends the job to targets until consume has read a complete response, and
// returns the name of that target. Consume reports whether any part of the
// response has been relayed to the caller; if so, the job is not retried.
//
// The error wraps a kind that says whether the job ran: for example
// fault.Unavailable if it was not sent, fault.Interrupted if a relayed response
// broke off, fault.Uncertain if it may have run.
func (d *Dispatcher) Do(ctx context.Context, job Job, consume func(target *wire.Target, r *http.Response) (relayed bool, err error)) (string, error) {
	delay := &backoff.ExponentialBackOff{InitialInterval: minBackoff, MaxInterval: maxBackoff, Multiplier: 2, RandomizationFactor: 0.5}
	tried := map[string]bool{}
	if d.cfg.CountJob != nil {
		d.cfg.CountJob()
	}
	sent := false
	var lastErr error
	for n := 1; n <= maxAttempts; n++ {
		target, done, err := d.pick(ctx, &job, func(name string) bool { return !tried[name] && job.Allowed(name) })
		if err != nil {
			if sent && fault.Of(err) == fault.Poison {
				// The caller may retry through another instance, which must know
				// by then that the content is blocked.
				sleep(ctx, blockPropagationTime)
			}
			return "", jobError(fault.Of(err), sent, lastErr)
		}
		tried[target.Name] = true
		a := attempt{job: job, target: target, number: n}
		d.cfg.Logger.Debug("attempt started", zap.String("request", job.RequestID), zap.String("attempt", a.id()), zap.String("target", target.Name), zap.String("address", target.Address))
		relayed, err := d.run(ctx, &a, consume)
		done()
		switch {
		case err == nil:
			return target.Name, nil
		case relayed:
			return "", eris.Wrapf(fault.Interrupted, "target %s: %v", target.Name, err)
		case a.sent && !job.Idempotent:
			return "", eris.Wrapf(fault.Uncertain, "target %s: %v", target.Name, err)
		case ctx.Err() != nil:
			return "", jobError(fault.Expired, sent || a.sent, err)
		case isFinal(err):
			return "", err
		}
		sent = sent || a.sent
		lastErr = err
		d.cfg.Logger.Info("attempt failed", zap.String("request", job.RequestID), zap.String("target", target.Name), zap.String("attempt", a.id()), zap.String("cause", err.Error()))
		if n < maxAttempts && d.cfg.AllowRetry != nil && !d.cfg.AllowRetry() {
			return "", jobError(fault.Overloaded, sent, lastErr)
		}
		if !sleep(ctx, delay.NextBackOff()) {
			return "", jobError(fault.Expired, sent, lastErr)
		}
	}
	return "", jobError(fault.Unavailable, sent, lastErr)
}
