package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// attempt is one sending of a job.
type attempt struct {
	job    Job
	target *wire.Target
	number int
	body   *gate
	// sent is set if a byte may have been written to the target.
	sent bool
}

// run sends an attempt and lets consume read its answer.
func (d *Dispatcher) run(ctx context.Context, a *attempt, consume func(*wire.Target, *http.Response) (bool, error)) (relayed bool, err error) {
	start := time.Now()
	c, err := d.converse(ctx, a)
	if err != nil {
		return false, err
	}
	err = c.head()
	first := time.Since(start)
	if err == nil {
		err = check(c.response, a)
	}
	if err == nil {
		c.response.Body = c
		relayed, err = consume(a.target, c.response)
	}
	c.finish(err)
	a.settle(err)
	d.record(ctx, a, err, c.response, first)
	return relayed, err
}

// settle finds out whether the target may have got the request.
func (a *attempt) settle(err error) {
	started := a.body.stop()
	switch {
	case isRefusal(err):
		a.sent = false // the target refused to run it
	case len(a.job.Body) > 0:
		a.sent = started
	default:
		a.sent = err == nil || !isDial(err)
	}
}

// record tells the other parts how the target did.
func (d *Dispatcher) record(ctx context.Context, a *attempt, err error, response *http.Response, first time.Duration) {
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
	// A body without GetBody can't be resent by the transport.
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

// id is the identity of the attempt. It is unique, so that a late answer to an
// earlier attempt is recognised.
func (a *attempt) id() string { return fmt.Sprintf("%s.%d", a.job.ID, a.number) }

// refusal is an answer which says that the target did not run the request.
type refusal struct{ status int }

// Error returns the status of the answer.
func (r refusal) Error() string { return fmt.Sprintf("status %d", r.status) }

// check refuses answers that belong to another request and those that say
// that the target can't serve the request.
func check(r *http.Response, a *attempt) error {
	if id := r.Header.Get(RequestHeader); id != "" && id != a.id() {
		return eris.Wrapf(fault.Internal, "answer belongs to request %s", id)
	}
	if !a.job.Idempotent {
		return nil
	}
	switch {
	case r.StatusCode == http.StatusTooManyRequests, r.StatusCode == http.StatusServiceUnavailable:
		return refusal{r.StatusCode}
	case r.StatusCode >= http.StatusInternalServerError:
		return eris.Errorf("status %d", r.StatusCode)
	}
	return nil
}

// gate is the body of a request. After stop nothing more is read from it, so
// that an attempt that has been given up can't be sent later.
type gate struct {
	mu      sync.Mutex
	r       *bytes.Reader
	started bool
	stopped bool
}

// Read hands out the next bytes of the body.
func (g *gate) Read(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return 0, io.ErrClosedPipe
	}
	g.started = true
	return g.r.Read(p)
}

// stop closes the gate and reports whether anything has been read.
func (g *gate) stop() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	return g.started
}
