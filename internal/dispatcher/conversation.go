package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
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
	// maxSilent is the number of unanswered questions in a row after which a
	// target counts as dead.
	maxSilent = 2
	// unknownCode is in the answer of a target that doesn't know a stream.
	unknownCode = `"code":"missing"`
	// spareAge is the number of checks after which an unanswered question for
	// the stream is asked again.
	spareAge = 10
)

// Errors of an attempt whose connection went silent.
var (
	errDead  = eris.New("the connection is silent and the target doesn't answer on a new one")
	errLost  = eris.New("the connection is silent while the target answers on a new one")
	errStuck = eris.New("the target is alive but makes no progress")
)

// conversation is the answer of one attempt. When its connection goes silent
// it asks the target for the same stream on a second connection: the one that
// delivers first tells whether the target is slow or the connection is dead.
type conversation struct {
	d        *Dispatcher
	ctx      context.Context
	a        *attempt
	pool     *pool
	renewed  <-chan struct{}
	active   *exchange
	spare    *exchange
	reply    *http.Response // of the spare
	response *http.Response // of the answer
	// resumable tells that the target can be asked for the stream again.
	resumable bool
	last      time.Time // of the last byte
	silent    int       // unanswered questions in a row
	checks    int
	probe     chan bool
	probing   bool

	ready []byte // not yet read
	tail  []byte // last line of a stream, not yet whole
	stash []event
	err   error
}

// converse sends an attempt.
func (d *Dispatcher) converse(ctx context.Context, a *attempt) (*conversation, error) {
	a.body = &gate{r: bytes.NewReader(a.job.Body)}
	request, err := a.request(ctx)
	if err != nil {
		return nil, err
	}
	c := &conversation{d: d, ctx: ctx, a: a, pool: d.pool(a.target.Address), last: time.Now(), probe: make(chan bool, 1)}
	c.resumable = a.job.Model != "" && a.job.Repeatable
	transport, renewed := c.pool.take()
	c.renewed = renewed
	if !a.job.Repeatable {
		transport = d.single
	}
	c.active = begin(transport, request)
	return c, nil
}

// head waits for the status and the headers.
func (c *conversation) head() error {
	e, err := c.next()
	if err == nil {
		err = e.err
	}
	c.response = e.response
	return err
}

// Read returns bytes of the answer. It returns whole lines of a stream, so
// that the stream can be continued on another connection.
func (c *conversation) Read(p []byte) (int, error) {
	for len(c.ready) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		e, err := c.next()
		if err == nil {
			err = e.err
		}
		c.err = err
		if c.a.job.Progress == nil {
			c.ready = append(c.ready[:0], e.data...)
			continue
		}
		c.tail = append(c.tail, e.data...)
		end := bytes.LastIndexByte(c.tail, '\n') + 1
		if err != nil {
			end = len(c.tail)
		}
		c.ready = append(c.ready[:0], c.tail[:end]...)
		c.tail = append(c.tail[:0], c.tail[end:]...)
	}
	n := copy(p, c.ready)
	c.ready = c.ready[n:]
	return n, nil
}

// Close does nothing; finish ends the conversation.
func (c *conversation) Close() error { return nil }

// finish ends the exchanges. A run that may go on behind a dead connection is
// cancelled, since its target can't see that nobody waits for it.
func (c *conversation) finish(err error) {
	c.dropSpare()
	if err == nil {
		go c.active.drain()
		return
	}
	c.active.cancel()
	if eris.Is(err, errLost) || eris.Is(err, errStuck) {
		c.d.cfg.Logger.Warn("Connection went silent.", zap.String("request", c.a.job.Identity), zap.String("target", c.a.target.Name), zap.String("cause", err.Error()))
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

// next returns the next event of the answer.
func (c *conversation) next() (event, error) {
	if len(c.stash) > 0 {
		e := c.stash[0]
		c.stash = c.stash[1:]
		return e, nil
	}
	timer := time.NewTimer(c.quiet())
	defer timer.Stop()
	for {
		var spare chan event
		if c.spare != nil {
			spare = c.spare.events
		}
		select {
		case e := <-c.active.events:
			c.progress()
			return e, nil
		case e := <-spare:
			if found, err := c.compare(e); found != nil || err != nil {
				return *orEmpty(found), err
			}
		case alive := <-c.probe:
			if err := c.judge(alive); err != nil {
				return event{}, err
			}
		case <-c.renewed:
			c.renewed = nil
			c.check()
		case <-timer.C:
			if time.Since(c.last) > c.patience() {
				return event{}, errStuck
			}
			c.check()
			timer.Reset(c.d.cfg.Quiet)
		case <-c.ctx.Done():
			return event{}, c.ctx.Err()
		}
	}
}

// progress notes that the connection delivers.
func (c *conversation) progress() {
	c.last, c.silent = time.Now(), 0
	c.dropSpare()
}

// check asks the target on new connections whether it is alive and, if it can
// tell, for the stream of this attempt.
func (c *conversation) check() {
	if !c.probing {
		c.probing = true
		go func() { c.probe <- c.pool.isAlive() }()
	}
	c.checks++
	if c.spare != nil && c.reply == nil && c.checks%spareAge == 0 {
		c.dropSpare()
	}
	if c.spare != nil || !c.resumable {
		return
	}
	from := 0
	if c.a.job.Progress != nil {
		from = c.a.job.Progress()
	}
	where := "http://" + c.pool.address + "/v1/streams/" + c.a.id() + "?from=" + strconv.Itoa(from)
	request, err := http.NewRequestWithContext(c.ctx, http.MethodGet, where, http.NoBody)
	if err == nil {
		c.spare = begin(c.d.single, request)
	}
}

// judge takes the answer to the question whether the target is alive.
func (c *conversation) judge(alive bool) error {
	c.probing = false
	if alive {
		c.silent = 0
		return nil
	}
	if c.silent++; c.silent < maxSilent {
		return nil
	}
	c.renew()
	return errDead
}

// compare takes an event of the spare connection. It returns the event that
// goes on with the answer, if it is decided.
func (c *conversation) compare(e event) (*event, error) {
	switch {
	case e.response != nil:
		c.compareHead(e.response)
		return nil, nil
	case c.reply != nil && c.reply.StatusCode == http.StatusNotFound:
		return c.unknown(e)
	case e.err != nil && (!errors.Is(e.err, io.EOF) || c.reply == nil):
		c.dropSpare() // this connection broke; the next check opens another
		return nil, nil
	case c.a.job.Progress == nil && e.err == nil:
		return nil, nil // the run goes on; its answer comes as a whole
	}
	if found := c.grace(); found != nil {
		return found, nil
	}
	c.renew()
	if c.a.job.Progress == nil || e.err != nil {
		return nil, errLost
	}
	c.d.cfg.Logger.Info("Stream goes on over a new connection.", zap.String("request", c.a.job.Identity), zap.String("target", c.a.target.Name))
	c.active.cancel()
	c.active, c.spare, c.tail = c.spare, nil, nil
	c.last = time.Now()
	if c.response == nil {
		c.stash = append(c.stash, event{data: bytes.Clone(e.data)})
		e = event{response: c.reply}
	}
	c.reply = nil
	return &e, nil
}

// compareHead takes the status of the spare connection.
func (c *conversation) compareHead(r *http.Response) {
	id := r.Header.Get(RequestHeader)
	switch {
	case r.StatusCode == http.StatusNotFound, r.StatusCode == http.StatusOK && (id == "" || id == c.a.id()):
		c.reply = r
	default:
		c.resumable = false
		c.dropSpare()
	}
}

// unknown takes the body of an answer with status 404. It means that the
// target doesn't know the attempt only if it says so: a target that can't
// resume streams answers 404 as well.
func (c *conversation) unknown(e event) (*event, error) {
	if !bytes.Contains(e.data, []byte(unknownCode)) {
		c.resumable = false
		c.dropSpare()
		return nil, nil
	}
	if found := c.grace(); found != nil {
		return found, nil
	}
	c.renew()
	return nil, errLost
}

// grace gives the first connection the chance to deliver what the second one
// has just delivered: then the target was slow and the connection is good.
func (c *conversation) grace() *event {
	timer := time.NewTimer(c.d.cfg.Quiet / 5)
	defer timer.Stop()
	select {
	case e := <-c.active.events:
		c.progress()
		return &e
	case <-timer.C:
		return nil
	case <-c.ctx.Done():
		return nil
	}
}

// renew gives up all connections to the target.
func (c *conversation) renew() {
	if c.renewed != nil {
		c.pool.renew(c.renewed)
		c.renewed = nil
	}
}

func (c *conversation) dropSpare() {
	if c.spare != nil {
		c.spare.cancel()
		c.spare, c.reply = nil, nil
	}
}

func (c *conversation) quiet() time.Duration {
	switch {
	case c.a.job.Progress == nil:
		return quietWhole * c.d.cfg.Quiet
	case c.response == nil:
		return quietFirst * c.d.cfg.Quiet
	default:
		return quietStream * c.d.cfg.Quiet
	}
}

func (c *conversation) patience() time.Duration {
	if c.response == nil || c.a.job.Progress == nil {
		return patienceFirst * c.d.cfg.Quiet
	}
	return patienceStream * c.d.cfg.Quiet
}

func orEmpty(e *event) *event {
	if e == nil {
		return &event{}
	}
	return e
}
