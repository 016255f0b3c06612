package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// A connection is probed after these multiples of Config.ReadIdleTimeout
	// without received data: before the response header, within a stream, and in
	// a non-streaming response.
	headerIdleFactor    = 2
	streamIdleFactor    = 1
	nonStreamIdleFactor = 5
	// An attempt fails after these multiples of Config.ReadIdleTimeout without
	// received data even though the target is alive: before the response header,
	// which a long queue and a long prefill may delay, and within a stream.
	headerStallFactor = 120
	streamStallFactor = 30
	// lineBufferSize is the initial size of the buffer for the lines of a stream,
	// maxLine is the maximum length of a line, both in bytes. A longer line is
	// passed on in parts.
	lineBufferSize = 4096
	maxLine        = 2 << 20
)

// responseReader reads the response of one attempt, in the goroutine of its
// consumer. A timer that fires at most once per Config.ReadIdleTimeout checks
// whether a read takes too long and, if so, starts a probe, whose result ends
// the read.
type responseReader struct {
	d       *Dispatcher
	ctx     context.Context
	attempt *attempt
	pool    *pool
	active  *exchange
	// resumable reports whether the stream can be requested again. The goroutine of a
	// probe clears it.
	resumable atomic.Bool

	// generation ends when the connection pool is reset, which starts a probe
	// until unwatch is called.
	generation context.Context
	unwatch    func() bool

	buf     []byte // data of a stream
	next    int    // index of the first unread byte
	lineEnd int    // end of the last complete line
	err     error

	mu        sync.Mutex // guards the fields below
	timer     *time.Timer
	readStart time.Time // of the current read, or zero
	consumed  int       // content events consumed at readStart
	response  *http.Response
	probe     *silenceProbe // the running probe, or nil
	result    *probeResult  // not yet returned by endRead
	ended     bool
}

// newResponseReader prepares an attempt without sending it.
func (d *Dispatcher) newResponseReader(ctx context.Context, a *attempt) (*responseReader, error) {
	a.body = &abortableBody{r: bytes.NewReader(a.job.Body)}
	r := &responseReader{d: d, ctx: ctx, attempt: a, pool: d.pool(a.target.Address)}
	r.resumable.Store(a.job.Model != "" && a.job.Idempotent)
	var transport http.RoundTripper
	transport, r.generation = r.pool.current()
	if !a.job.Idempotent {
		transport = d.unpooled
	}
	var err error
	r.active, err = newExchange(ctx, transport, a.request)
	return r, err
}

// readHeader sends the attempt and waits for the response header.
func (r *responseReader) readHeader() error {
	r.beginRead()
	r.mu.Lock()
	r.timer = time.AfterFunc(r.idleTimeout(), r.onReadTimer)
	r.mu.Unlock()
	r.unwatch = context.AfterFunc(r.generation, r.onPoolReset)
	err := r.active.open()
	res := r.endRead()
	switch {
	case res != nil && res.err != nil:
		return res.err
	case res != nil:
		r.active.close()
		r.active, err = res.exchange, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.response = r.active.response
	if r.probe == nil {
		r.timer.Reset(r.idleTimeout()) // the timeout now differs
	}
	return r.contextError(err)
}

// Read reads from the response. It returns only complete lines of a stream, so
// that the stream can be resumed on another connection.
func (r *responseReader) Read(p []byte) (int, error) {
	if r.attempt.job.Progress == nil {
		n, _, err := r.receive(p)
		return n, err
	}
	for r.next == r.lineEnd {
		if r.err != nil {
			return 0, r.err
		}
		r.fill()
	}
	n := copy(p, r.buf[r.next:r.lineEnd])
	r.next += n
	return n, nil
}

// fill reads more of a stream once all complete lines have been read.
func (r *responseReader) fill() {
	partial := copy(r.buf, r.buf[r.lineEnd:])
	r.buf, r.next, r.lineEnd = r.buf[:partial], 0, 0
	if partial == cap(r.buf) {
		r.buf = append(make([]byte, 0, max(lineBufferSize, 2*partial)), r.buf...)
	}
	n, resumed, err := r.receive(r.buf[partial:cap(r.buf)])
	if resumed {
		// The resumed stream repeats the partial line from its start.
		copy(r.buf[:cap(r.buf)], r.buf[partial:partial+n])
		partial = 0
	}
	r.buf, r.err = r.buf[:partial+n], err
	r.lineEnd = bytes.LastIndexByte(r.buf, '\n') + 1
	if errors.Is(err, io.EOF) || len(r.buf) > maxLine {
		r.lineEnd = len(r.buf)
	}
}

// receive reads from the connection and reports whether the stream was resumed
// on another one.
func (r *responseReader) receive(p []byte) (n int, resumed bool, err error) {
	r.beginRead()
	n, err = r.active.read(p)
	res := r.endRead()
	if res == nil {
		return n, false, r.contextError(err)
	}
	if res.err != nil {
		return 0, false, res.err
	}
	r.active.close()
	r.active = res.exchange
	n, err = r.active.read(p)
	return n, true, r.contextError(err)
}

// contextError returns the error of the context if it caused err, else err.
func (r *responseReader) contextError(err error) error {
	if err != nil && !errors.Is(err, io.EOF) && r.ctx.Err() != nil {
		return r.ctx.Err()
	}
	return err
}

// beginRead records the start of a read.
func (r *responseReader) beginRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readStart = time.Now()
	if r.attempt.job.Progress != nil {
		r.consumed = r.attempt.job.Progress()
	}
}

// endRead records the end of a read. If it returns a result, the caller must
// discard the data of the read.
func (r *responseReader) endRead() *probeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readStart = time.Time{}
	r.stopProbe()
	res := r.result
	r.result = nil
	return res
}

// stopProbe stops a running probe without a result. The caller holds r.mu.
func (r *responseReader) stopProbe() {
	if p := r.probe; p != nil && !p.stopped {
		p.stopped = true
		close(p.stop)
	}
}

// onReadTimer starts a probe if the current read takes too long.
func (r *responseReader) onReadTimer() { r.startProbe(false) }

// onPoolReset starts a probe because another connection to the same address has
// proved dead.
func (r *responseReader) onPoolReset() { r.startProbe(true) }

func (r *responseReader) startProbe(immediate bool) {
	r.mu.Lock()
	if r.ended || r.probe != nil {
		r.mu.Unlock()
		return
	}
	wait := r.idleTimeout()
	if !r.readStart.IsZero() {
		wait -= time.Since(r.readStart)
	}
	if wait > 0 && (!immediate || r.readStart.IsZero()) {
		r.timer.Reset(wait)
		r.mu.Unlock()
		return
	}
	r.timer.Stop()
	p := &silenceProbe{r: r, stop: make(chan struct{}), silentSince: r.readStart, consumed: r.consumed, awaitingHeader: r.response == nil, liveness: make(chan bool, 1)}
	r.probe = p
	r.mu.Unlock()
	r.finishProbe(p, p.run())
}

// finishProbe passes a result to the reader, unless the connection has delivered
// in the meantime.
func (r *responseReader) finishProbe(p *silenceProbe, res *probeResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probe = nil
	if !r.ended {
		r.timer.Reset(r.idleTimeout())
	}
	switch {
	case res == nil:
		return
	case p.stopped:
		if res.exchange != nil {
			res.exchange.close()
		}
		return
	case res.exchange != nil:
		r.d.cfg.Logger.Info("stream resumed on a new connection", zap.String("request", r.attempt.job.RequestID), zap.String("target", r.attempt.target.Name))
	}
	r.result = res
	r.active.cancel()
	if r.unwatch() && !eris.Is(res.err, errNoProgress) {
		r.pool.reset(r.generation)
	}
}

// Close does nothing. Use finish instead.
func (r *responseReader) Close() error { return nil }

// finish ends the exchange. It cancels a run that may continue behind a dead
// connection, since the target can't detect that its caller is gone.
func (r *responseReader) finish(err error) {
	r.mu.Lock()
	r.ended = true
	r.stopProbe()
	r.timer.Stop()
	r.mu.Unlock()
	r.unwatch()
	if err == nil {
		r.active.drain()
		return
	}
	r.active.close()
	if eris.Is(err, errConnectionLost) || eris.Is(err, errNoProgress) {
		r.d.cfg.Logger.Warn("connection stalled", zap.String("request", r.attempt.job.RequestID), zap.String("target", r.attempt.target.Name), zap.String("cause", err.Error()))
		if r.resumable.Load() {
			go r.cancelRun()
		}
	}
}

func (r *responseReader) cancelRun() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	body, _ := json.Marshal(struct {
		Request string `json:"request"`
	}{r.attempt.id()})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.pool.address+"/v1/cancel", bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := r.d.unpooled.RoundTrip(request); err == nil {
		_ = response.Body.Close()
	}
}

// idleTimeout returns the duration of a read after which the connection is
// probed.
func (r *responseReader) idleTimeout() time.Duration {
	switch {
	case r.attempt.job.Progress == nil:
		return nonStreamIdleFactor * r.d.cfg.ReadIdleTimeout
	case r.response == nil:
		return headerIdleFactor * r.d.cfg.ReadIdleTimeout
	default:
		return streamIdleFactor * r.d.cfg.ReadIdleTimeout
	}
}
