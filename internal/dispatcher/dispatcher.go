package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
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
)

// Config configures a Dispatcher.
type Config struct {
	// Pick chooses a target, Done ends its use.
	Pick func(model, service string, allowed func(target string) bool) (*wire.Target, error)
	Done func(target string)
	// Blocked tells whether a content must not be sent any more.
	Blocked func(digest []byte) bool
	// Blame records that a target crashed while running a content, Clear that
	// a target has answered it.
	Blame func(digest []byte, target string)
	Clear func(digest []byte)
	// Dial replaces the TCP dialer if it isn't nil.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Logger *zap.Logger
}

// Job is one request to be sent.
type Job struct {
	// Request is the identity of the request.
	Request string
	// Identity is the identity that the caller knows. It stands in log lines,
	// so that all lines of a request can be found with it.
	Identity string
	// Model or Service is what the target must serve.
	Model, Service string
	// Allowed tells whether the account may use a target.
	Allowed func(target string) bool
	Method  string
	// Path is the path and the query at the target.
	Path   string
	Header http.Header
	Body   []byte
	// Digest is the digest of the content.
	Digest []byte
	// Repeatable tells that the request may run more than once.
	Repeatable bool
}

// Dispatcher sends requests to targets. It is safe for concurrent use.
type Dispatcher struct {
	cfg    Config
	shared *http.Transport
	// single opens a connection for each request. The transport of net/http
	// resends requests on its own when a kept connection turns out to be
	// closed, which must not happen to a non-idempotent request.
	single *http.Transport
}

// New returns a dispatcher without connections.
func New(cfg Config) *Dispatcher {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
		cfg.Dial = d.DialContext
	}
	transport := func(single bool) *http.Transport {
		return &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableKeepAlives: single, DisableCompression: true}
	}
	return &Dispatcher{cfg: cfg, shared: transport(false), single: transport(true)}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.shared.CloseIdleConnections()
	d.single.CloseIdleConnections()
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
	sent := false
	var last error
	for n := 1; n <= maxAttempts; n++ {
		if d.cfg.Blocked(job.Digest) {
			if sent {
				// The caller may retry through another instance, which has to
				// know the blocked content by then.
				sleep(ctx, spreadTime)
			}
			return "", refuse(fault.Poison, sent, last)
		}
		target, err := d.cfg.Pick(job.Model, job.Service, func(name string) bool { return !failed[name] && job.Allowed(name) })
		if err != nil {
			return "", refuse(fault.Unavailable, sent, last)
		}
		failed[target.Name] = true
		a := attempt{job: job, target: target, number: n}
		d.cfg.Logger.Debug("Attempt starts.", zap.String("request", job.Identity), zap.String("attempt", a.id()), zap.String("target", target.Name), zap.String("address", target.Address))
		relayed, err := d.run(ctx, &a, consume)
		switch {
		case err == nil:
			return target.Name, nil
		case relayed:
			return "", eris.Wrapf(fault.Interrupted, "target %s: %v", target.Name, err)
		case a.sent.Load() && !job.Repeatable:
			return "", eris.Wrapf(fault.Uncertain, "target %s: %v", target.Name, err)
		case ctx.Err() != nil:
			return "", refuse(fault.Expired, sent || a.sent.Load(), err)
		case isFinal(err):
			return "", err
		}
		sent = sent || a.sent.Load()
		last = err
		d.cfg.Logger.Info("Attempt failed.", zap.String("request", job.Identity), zap.String("target", target.Name), zap.String("attempt", a.id()), zap.String("cause", err.Error()))
		if !sleep(ctx, pause.NextBackOff()) {
			return "", refuse(fault.Expired, sent, last)
		}
	}
	return "", refuse(fault.Unavailable, sent, last)
}

// attempt is one sending of a job.
type attempt struct {
	job    Job
	target *wire.Target
	number int
	// sent is set before the first byte is written to the target.
	sent atomic.Bool
}

func (d *Dispatcher) run(ctx context.Context, a *attempt, consume func(*wire.Target, *http.Response) (bool, error)) (relayed bool, err error) {
	defer d.cfg.Done(a.target.Name)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, err := d.send(ctx, a)
	if err == nil {
		defer response.Body.Close()
		err = check(response, a)
		if err == nil {
			relayed, err = consume(a.target, response)
		}
	}
	switch {
	case err == nil:
		d.cfg.Clear(a.job.Digest)
	case ctx.Err() == nil && isCrash(err):
		d.cfg.Blame(a.job.Digest, fmt.Sprintf("%s/%d", a.target.Name, a.target.Incarnation))
	}
	return relayed, err
}

func (d *Dispatcher) send(ctx context.Context, a *attempt) (*http.Response, error) {
	// A body without GetBody can't be resent by the transport.
	body := io.NopCloser(&watchedReader{r: bytes.NewReader(a.job.Body), started: &a.sent})
	request, err := http.NewRequestWithContext(ctx, a.job.Method, "http://"+a.target.Address+a.job.Path, body)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "%v", err)
	}
	request.ContentLength = int64(len(a.job.Body))
	if len(a.job.Body) == 0 {
		request.Body = nil
	}
	request.Header = a.job.Header.Clone()
	request.Header.Set(RequestHeader, a.id())
	transport := d.shared
	if !a.job.Repeatable {
		transport = d.single
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		if !isDial(err) {
			a.sent.Store(true)
		}
		return nil, err
	}
	a.sent.Store(true)
	return response, nil
}

// id is the identity of the attempt. It is unique, so that a late answer to an
// earlier attempt is recognised.
func (a *attempt) id() string { return fmt.Sprintf("%s.%d", a.job.Request, a.number) }

// check refuses answers that belong to another request and those that say
// that the target can't serve the request.
func check(r *http.Response, a *attempt) error {
	if id := r.Header.Get(RequestHeader); id != "" && id != a.id() {
		return eris.Wrapf(fault.Internal, "answer belongs to request %s", id)
	}
	if !a.job.Repeatable {
		return nil
	}
	switch {
	case r.StatusCode == http.StatusTooManyRequests, r.StatusCode == http.StatusServiceUnavailable:
		a.sent.Store(false) // the target refused to run it
		return eris.Errorf("status %d", r.StatusCode)
	case r.StatusCode >= http.StatusInternalServerError:
		return eris.Errorf("status %d", r.StatusCode)
	}
	return nil
}

// refuse tells the truth about a job that has no answer: the given kind if no
// attempt was sent, else fault.Uncertain, or fault.Crashed if the content was
// blocked meanwhile.
func refuse(kind fault.Kind, sent bool, cause error) error {
	switch {
	case sent && kind == fault.Poison:
		kind = fault.Crashed
	case sent:
		kind = fault.Uncertain
	}
	if cause == nil {
		return eris.Wrap(kind, "dispatch")
	}
	return eris.Wrapf(kind, "last attempt: %v", cause)
}

// isFinal tells whether an error says that another target would answer the
// same.
func isFinal(err error) bool {
	var k fault.Kind
	return errors.As(err, &k) && k != fault.Internal
}

// isDial tells whether an error came before a connection stood, so that no
// byte can have reached the target.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// isCrash tells whether a connection broke as it does when the process at the
// other end dies.
func isCrash(err error) bool {
	return !isDial(err) && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || strings.Contains(err.Error(), "server closed idle connection"))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// watchedReader sets started when it is first read.
type watchedReader struct {
	r       io.Reader
	started *atomic.Bool
}

func (w *watchedReader) Read(p []byte) (int, error) {
	w.started.Store(true)
	return w.r.Read(p)
}
