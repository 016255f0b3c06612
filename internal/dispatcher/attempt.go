package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// attempt is one attempt to run a job on a target.
type attempt struct {
	job    Job
	target *wire.Target
	number int
	body   *abortableBody
	// sent reports whether a byte may have been written to the target.
	sent bool
	// reused reports whether its connection was used before.
	reused atomic.Bool
}

// run sends an attempt and passes its response to consume.
func (d *Dispatcher) run(ctx context.Context, a *attempt, consume func(*wire.Target, *http.Response) (bool, error)) (relayed bool, err error) {
	start := time.Now()
	c, err := d.newResponseReader(ctx, a)
	if err != nil {
		return false, err
	}
	err = c.readHeader()
	first := time.Since(start)
	if err == nil {
		err = checkResponse(c.response, a)
	}
	if err == nil {
		c.response.Body = c
		if a.job.Progress == nil {
			c.response.Body = newOpenBody(c.response, c)
		}
		relayed, err = consume(a.target, c.response)
	}
	c.finish(err)
	a.resolveSent(err)
	d.recordOutcome(ctx, a, err, c.response, first)
	return relayed, err
}

// resolveSent determines whether the target may have received the request.
func (a *attempt) resolveSent(err error) {
	bodyRead := a.body.stop()
	switch {
	case isRefusal(err):
		a.sent = false // the target did not run the request
	case len(a.job.Body) > 0:
		a.sent = bodyRead
	default:
		a.sent = err == nil || !isDialError(err)
	}
}

// recordOutcome records whether the target succeeded, failed or crashed.
func (d *Dispatcher) recordOutcome(ctx context.Context, a *attempt, err error, response *http.Response, first time.Duration) {
	switch {
	case err == nil:
		d.cfg.Clear(a.job.Digest)
		if a.job.Progress == nil {
			first = 0
		}
		if d.cfg.RecordSuccess != nil && response.StatusCode < http.StatusInternalServerError {
			d.cfg.RecordSuccess(a.target.Name, first)
		}
		return
	case ctx.Err() != nil, isFinal(err), isRefusal(err):
		return
	}
	if d.cfg.RecordFailure != nil {
		d.cfg.RecordFailure(a.target.Name)
	}
	if isCrash(err) {
		d.cfg.RecordCrash(a.job.Digest, fmt.Sprintf("%s/%d", a.target.Name, a.target.Incarnation))
	}
}

// request builds the HTTP request of an attempt.
func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.reused.Store(c.Reused) }})
	// The transport can't resend a body without GetBody.
	r, err := http.NewRequestWithContext(ctx, a.job.Method, "http://"+a.target.Address+a.job.Path, io.NopCloser(a.body))
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "%v", err)
	}
	r.ContentLength = int64(len(a.job.Body))
	if len(a.job.Body) == 0 {
		r.Body = nil
	}
	r.Header = a.job.Header.Clone()
	r.Header.Set(RequestHeader, a.id())
	return r, nil
}

// id returns the ID of the attempt. It is unique, so that a late response to an
// earlier attempt is recognized.
func (a *attempt) id() string { return fmt.Sprintf("%s.%d", a.job.ID, a.number) }

// refusal is a response with which the target states that it did not run the
// request.
type refusal struct{ status int }

// Error returns the status of the response.
func (r refusal) Error() string { return fmt.Sprintf("status %d", r.status) }

// checkResponse rejects responses that belong to another request and those that
// say that the target can't serve the request.
func checkResponse(r *http.Response, a *attempt) error {
	if err := checkStatus(r); err != nil {
		return err
	}
	id := r.Header.Get(RequestHeader)
	if id != "" && id != a.id() {
		return eris.Wrapf(fault.Internal, "response belongs to request %s", id)
	}
	if !a.job.Idempotent {
		return nil
	}
	switch {
	case r.StatusCode == http.StatusTooManyRequests, r.StatusCode == http.StatusServiceUnavailable:
		if id == "" && a.reused.Load() {
			return eris.Errorf("status %d without an ID, possibly of an earlier request", r.StatusCode)
		}
		return refusal{r.StatusCode}
	case r.StatusCode >= http.StatusInternalServerError:
		return eris.Errorf("status %d", r.StatusCode)
	}
	return nil
}

// abortableBody is the body of a request. Reads fail after stop, so that an
// abandoned attempt can't be sent later.
type abortableBody struct {
	mu      sync.Mutex
	r       *bytes.Reader
	read    bool
	stopped bool
}

// Read reads the next bytes of the body. It returns io.ErrClosedPipe after stop.
func (b *abortableBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, io.ErrClosedPipe
	}
	b.read = true
	return b.r.Read(p)
}

// stop makes further reads fail and reports whether the body has been read.
func (b *abortableBody) stop() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	return b.read
}
