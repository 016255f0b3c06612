package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// A connection is checked after so many times Config.Quiet without a byte:
	// before the first byte of an answer, inside a stream, and in an answer that
	// comes as a whole.
	quietFirst  = 2
	quietStream = 1
	quietWhole  = 5
	// An attempt ends after so many times Config.Quiet without a byte, although
	// the target is alive: before the first byte, which a long queue and a long
	// prefill delay, and inside a stream.
	patienceFirst  = 120
	patienceStream = 30
	// lineSize is the size of the buffer for the lines of a stream, maxLine
	// bounds a line, both in bytes. A longer line is passed on in parts.
	lineSize = 4096
	maxLine  = 2 << 20
)

// conversation is the answer of one attempt. It is read in the goroutine of its
// consumer. A timer that is set again at most once per Config.Quiet looks
// whether a read takes too long, and then starts an inspection, whose verdict
// ends the read.
type conversation struct {
	d         *Dispatcher
	ctx       context.Context
	a         *attempt
	pool      *pool
	active    *exchange
	resumable bool // the target can be asked for the stream again

	// renewed ends when the kept connections are renewed; until forget is
	// called, that starts an inspection.
	renewed context.Context
	forget  func() bool

	lines []byte // bytes of a stream
	next  int    // first byte that is not yet read
	whole int    // end of the last whole line
	err   error

	mu         sync.Mutex // guards the fields below
	timer      *time.Timer
	waiting    time.Time // begin of the present read, or zero
	taken      int       // content events that the consumer had then
	response   *http.Response
	inspection *inspection // the one that runs, or nil
	verdict    *verdict    // not yet taken by the reader
	ended      bool
}

// converse prepares the sending of an attempt.
func (d *Dispatcher) converse(ctx context.Context, a *attempt) (*conversation, error) {
	a.body = &gate{r: bytes.NewReader(a.job.Body)}
	c := &conversation{d: d, ctx: ctx, a: a, pool: d.pool(a.target.Address)}
	c.resumable = a.job.Model != "" && a.job.Idempotent
	var transport http.RoundTripper
	transport, c.renewed = c.pool.take()
	if !a.job.Idempotent {
		transport = d.single
	}
	var err error
	c.active, err = newExchange(ctx, transport, a.request)
	return c, err
}

// head sends the attempt and waits for the status and the headers.
func (c *conversation) head() error {
	c.enter()
	c.mu.Lock()
	c.timer = time.AfterFunc(c.quiet(), c.tick)
	c.mu.Unlock()
	c.forget = context.AfterFunc(c.renewed, c.suspect)
	err := c.active.open()
	v := c.leave()
	switch {
	case v != nil && v.err != nil:
		return v.err
	case v != nil:
		c.active.close()
		c.active, err = v.exchange, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = c.active.response
	if c.inspection == nil {
		c.timer.Reset(c.quiet()) // another one holds now
	}
	return c.truth(err)
}

// Read returns bytes of the answer. It returns whole lines of a stream, so
// that the stream can be continued on another connection.
func (c *conversation) Read(p []byte) (int, error) {
	if c.a.job.Progress == nil {
		n, _, err := c.receive(p)
		return n, err
	}
	for c.next == c.whole {
		if c.err != nil {
			return 0, c.err
		}
		c.fill()
	}
	n := copy(p, c.lines[c.next:c.whole])
	c.next += n
	return n, nil
}

// fill reads more of a stream after its lines have been read.
func (c *conversation) fill() {
	begun := copy(c.lines, c.lines[c.whole:])
	c.lines, c.next, c.whole = c.lines[:begun], 0, 0
	if begun == cap(c.lines) {
		c.lines = append(make([]byte, 0, max(lineSize, 2*begun)), c.lines...)
	}
	n, moved, err := c.receive(c.lines[begun:cap(c.lines)])
	if moved {
		// The line that was begun comes again, as a whole.
		copy(c.lines[:cap(c.lines)], c.lines[begun:begun+n])
		begun = 0
	}
	c.lines, c.err = c.lines[:begun+n], err
	c.whole = bytes.LastIndexByte(c.lines, '\n') + 1
	if errors.Is(err, io.EOF) || len(c.lines) > maxLine {
		c.whole = len(c.lines)
	}
}

// receive reads from the connection and reports whether the answer went on
// over another one.
func (c *conversation) receive(p []byte) (n int, moved bool, err error) {
	c.enter()
	n, err = c.active.read(p)
	v := c.leave()
	if v == nil {
		return n, false, c.truth(err)
	}
	if v.err != nil {
		return 0, false, v.err
	}
	c.active.close()
	c.active = v.exchange
	n, err = c.active.read(p)
	return n, true, c.truth(err)
}

// truth returns the cause of the error of a read.
func (c *conversation) truth(err error) error {
	if err != nil && !errors.Is(err, io.EOF) && c.ctx.Err() != nil {
		return c.ctx.Err()
	}
	return err
}

// enter notes that a read begins.
func (c *conversation) enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = time.Now()
	if c.a.job.Progress != nil {
		c.taken = c.a.job.Progress()
	}
}

// leave notes that a read has returned. If a verdict came before, what was read
// must not be used.
func (c *conversation) leave() *verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = time.Time{}
	c.endInspection()
	v := c.verdict
	c.verdict = nil
	return v
}

// endInspection ends an inspection without a verdict. The caller holds the
// lock.
func (c *conversation) endInspection() {
	if i := c.inspection; i != nil && !i.ended {
		i.ended = true
		close(i.over)
	}
}

// tick starts an inspection if the present read takes too long.
func (c *conversation) tick() { c.inspect(false) }

// suspect starts an inspection because another connection to the same address
// has proved dead.
func (c *conversation) suspect() { c.inspect(true) }

func (c *conversation) inspect(atOnce bool) {
	c.mu.Lock()
	if c.ended || c.inspection != nil {
		c.mu.Unlock()
		return
	}
	wait := c.quiet()
	if !c.waiting.IsZero() {
		wait -= time.Since(c.waiting)
	}
	if wait > 0 && (!atOnce || c.waiting.IsZero()) {
		c.timer.Reset(wait)
		c.mu.Unlock()
		return
	}
	c.timer.Stop()
	i := &inspection{c: c, over: make(chan struct{}), since: c.waiting, taken: c.taken, first: c.response == nil, probe: make(chan bool, 1)}
	c.inspection = i
	c.mu.Unlock()
	c.conclude(i, i.run())
}

// conclude passes a verdict to the reader, unless the connection delivered
// meanwhile.
func (c *conversation) conclude(i *inspection, v *verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inspection = nil
	if !c.ended {
		c.timer.Reset(c.quiet())
	}
	switch {
	case v == nil:
		return
	case i.ended:
		if v.exchange != nil {
			v.exchange.close()
		}
		return
	case v.exchange != nil:
		c.d.cfg.Logger.Info("Stream goes on over a new connection.", zap.String("request", c.a.job.RequestID), zap.String("target", c.a.target.Name))
	}
	c.verdict = v
	c.active.cancel()
	if c.forget() && !eris.Is(v.err, errStuck) {
		c.pool.renew(c.renewed)
	}
}

// Close does nothing; finish ends the conversation.
func (c *conversation) Close() error { return nil }

// finish ends the exchanges. A run that may go on behind a dead connection is
// cancelled, since its target can't see that nobody waits for it.
func (c *conversation) finish(err error) {
	c.mu.Lock()
	c.ended = true
	c.endInspection()
	c.timer.Stop()
	c.mu.Unlock()
	c.forget()
	if err == nil {
		c.active.drain()
		return
	}
	c.active.close()
	if eris.Is(err, errLost) || eris.Is(err, errStuck) {
		c.d.cfg.Logger.Warn("Connection went silent.", zap.String("request", c.a.job.RequestID), zap.String("target", c.a.target.Name), zap.String("cause", err.Error()))
		if c.resumable {
			go c.cancelRun()
		}
	}
}

func (c *conversation) cancelRun() {
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	body, _ := json.Marshal(struct {
		Request string `json:"request"`
	}{c.a.id()})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.pool.address+"/v1/cancel", bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := c.d.single.RoundTrip(request); err == nil {
		_ = response.Body.Close()
	}
}

// quiet returns the time of a read after which the connection is checked.
func (c *conversation) quiet() time.Duration {
	switch {
	case c.a.job.Progress == nil:
		return quietWhole * c.d.cfg.ReadIdleTimeout
	case c.response == nil:
		return quietFirst * c.d.cfg.ReadIdleTimeout
	default:
		return quietStream * c.d.cfg.ReadIdleTimeout
	}
}
