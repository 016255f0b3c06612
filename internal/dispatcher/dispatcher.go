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

// RequestHeader carries the identity of one attempt to the target, which
// echoes it in its answer.
const RequestHeader = "X-Request-Id"

const (
	dialTimeout = time.Second
	// keepAlive detects connections that a middlebox has dropped silently.
	keepAlive = 5 * time.Second
	// maxAttempts bounds the targets that one request is sent to.
	maxAttempts = 3
	// spreadTime is the time in which a blocked content becomes known to all
	// instances that can be reached: two streams with 50 ms between updates.
	spreadTime = 250 * time.Millisecond
	// firstDelay and lastDelay bound the pause between two attempts.
	firstDelay = 20 * time.Millisecond
	lastDelay  = 500 * time.Millisecond
	// defaultQuiet is the default of Config.Quiet.
	defaultQuiet = time.Second
)

// Config configures a Dispatcher.
type Config struct {
	// Pick chooses a target for a prompt; done ends its use.
	Pick func(model, service string, prompt []byte, allowed func(target string) bool) (target *wire.Target, done func(), err error)
	// Restrict returns the only targets that a content may be sent to now, or
	// nil, whether it is suspect, and a channel that is closed when this may have
	// changed. Enter records an attempt; it is not ok if the target is ruled out
	// by now. Trial chooses the target of a suspect content. Nil means that any
	// content may run on any number of targets.
	Restrict     func(digest []byte) (only []string, suspect bool, changed <-chan struct{})
	BeginAttempt func(digest []byte, target string) (leave func(), ok bool)
	Trial        func(model, service string, digest []byte, allowed func(target string) bool) (target *wire.Target, done func(), err error)
	// Blocked tells whether a content must not be sent any more.
	Blocked func(digest []byte) bool
	// RecordCrash records that a target crashed while running a content, Clear that
	// a target has answered it.
	RecordCrash func(digest []byte, target string)
	Clear       func(digest []byte)
	// CountJob counts a job and Retry reports whether another attempt is within the
	// retry budget. Nil means no bound.
	CountJob   func()
	AllowRetry func() bool
	// RecordSuccess and Fail record the health of a target. Nil records nothing.
	// First is the time to the first token of a stream, 0 for other answers.
	RecordSuccess func(target string, first time.Duration)
	RecordFailure func(target string)
	// ReadIdleTimeout is the time without a byte after which a connection is checked.
	ReadIdleTimeout time.Duration
	// Dial replaces the TCP dialer if it isn't nil.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *zap.Logger
}

// Job is one request to be sent.
type Job struct {
	// ID is the identity of the request.
	ID string
	// RequestID is the identity that the caller knows. It stands in log lines,
	// so that all lines of a request can be found with it.
	RequestID string
	// Model or Service is what the target must serve.
	Model, Service string
	// Allowed tells whether the account may use a target.
	Allowed func(target string) bool
	Method  string
	// Path is the path and the query at the target.
	Path   string
	Header http.Header
	Body   []byte
	// Prompt is the prefix text of the request, for the choice of a target. It
	// may be nil.
	Prompt []byte
	// Digest is the digest of the content.
	Digest []byte
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// Progress returns the number of content events of a stream that the
	// consumer has taken. A stream with it is resumed on a new connection when
	// its connection goes silent. It is nil for other jobs.
	Progress func() int
}

// Dispatcher sends requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	cfg Config
	// single opens a connection for each request. The transport of net/http
	// resends requests on its own when a kept connection turns out to be
	// closed, which must not happen to a non-idempotent request.
	single *http.Transport

	mu    sync.Mutex
	pools map[string]*pool // by address
}

// New returns a dispatcher without connections.
func New(cfg Config) *Dispatcher {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
		cfg.Dial = d.DialContext
	}
	if cfg.ReadIdleTimeout == 0 {
		cfg.ReadIdleTimeout = defaultQuiet
	}
	return &Dispatcher{cfg: cfg, single: newTransport(cfg, true), pools: map[string]*pool{}}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.single.CloseIdleConnections()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.close()
	}
}

// Do sends the job to targets until consume has taken a whole answer, and
// returns the name of that target. Consume reads the response; it reports
// whether any part of it has been relayed to the caller, after which the job
// is not sent again.
//
// The error wraps a kind that tells the truth about the job: for example
// fault.Unavailable if it was not sent, fault.Interrupted if a relayed answer
// broke off, fault.Uncertain if it may have run.
func (d *Dispatcher) Do(ctx context.Context, job Job, consume func(target *wire.Target, r *http.Response) (relayed bool, err error)) (string, error) {
	pause := &backoff.ExponentialBackOff{InitialInterval: firstDelay, MaxInterval: lastDelay, Multiplier: 2, RandomizationFactor: 0.5}
	failed := map[string]bool{}
	if d.cfg.CountJob != nil {
		d.cfg.CountJob()
	}
	sent := false
	var last error
	for n := 1; n <= maxAttempts; n++ {
		target, done, err := d.pick(ctx, &job, func(name string) bool { return !failed[name] && job.Allowed(name) })
		if err != nil {
			if sent && fault.Of(err) == fault.Poison {
				// The caller may retry through another instance, which has to
				// know the blocked content by then.
				sleep(ctx, spreadTime)
			}
			return "", refuse(fault.Of(err), sent, last)
		}
		failed[target.Name] = true
		a := attempt{job: job, target: target, number: n}
		d.cfg.Logger.Debug("Attempt starts.", zap.String("request", job.RequestID), zap.String("attempt", a.id()), zap.String("target", target.Name), zap.String("address", target.Address))
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
			return "", refuse(fault.Expired, sent || a.sent, err)
		case isFinal(err):
			return "", err
		}
		sent = sent || a.sent
		last = err
		d.cfg.Logger.Info("Attempt failed.", zap.String("request", job.RequestID), zap.String("target", target.Name), zap.String("attempt", a.id()), zap.String("cause", err.Error()))
		if n < maxAttempts && d.cfg.AllowRetry != nil && !d.cfg.AllowRetry() {
			return "", refuse(fault.Overloaded, sent, last)
		}
		if !sleep(ctx, pause.NextBackOff()) {
			return "", refuse(fault.Expired, sent, last)
		}
	}
	return "", refuse(fault.Unavailable, sent, last)
}
