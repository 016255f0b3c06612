package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
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

// inspection finds out why the connection of a conversation is silent. It asks
// the target for the same stream on a second connection: the one that delivers
// first tells whether the target is slow or the connection is dead.
type inspection struct {
	c *conversation
	// over is closed when the connection delivers or the conversation ends;
	// ended tells it under the lock of the conversation.
	over  chan struct{}
	ended bool

	since   time.Time // when the silence began
	taken   int       // content events that the consumer has
	first   bool      // the status has not arrived
	spare   *spare
	reply   *http.Response // of the spare
	silent  int            // unanswered questions in a row
	checks  int
	probe   chan bool
	probing bool
}

// verdict is the end of an inspection: an error, or the answer that goes on
// over a new connection.
type verdict struct {
	err      error
	exchange *exchange
}

// run returns the verdict, or nil if the connection delivered.
func (i *inspection) run() *verdict {
	renewed := i.c.renewed.Done()
	timer := time.NewTimer(i.c.d.cfg.ReadIdleTimeout)
	defer timer.Stop()
	defer i.dropSpare()
	i.check()
	for {
		var spare chan event
		if i.spare != nil {
			spare = i.spare.events
		}
		var v *verdict
		select {
		case <-i.over:
			return nil
		case e := <-spare:
			v = i.compare(e)
		case alive := <-i.probe:
			v = i.judge(alive)
		case <-renewed:
			renewed = nil
			i.check()
		case <-timer.C:
			if time.Since(i.since) > i.patience() {
				return &verdict{err: errStuck}
			}
			i.check()
			timer.Reset(i.c.d.cfg.ReadIdleTimeout)
		}
		if v != nil {
			return v
		}
	}
}

// check asks the target on new connections whether it is alive and, if it can
// tell, for the stream of this attempt.
func (i *inspection) check() {
	c := i.c
	if !i.probing {
		i.probing = true
		go func() { i.probe <- c.pool.isAlive() }()
	}
	i.checks++
	if i.spare != nil && i.reply == nil && i.checks%spareAge == 0 {
		i.dropSpare()
	}
	if i.spare != nil || !c.resumable {
		return
	}
	where := "http://" + c.pool.address + "/v1/streams/" + c.a.id() + "?from=" + strconv.Itoa(i.taken)
	x, err := newExchange(c.ctx, c.d.single, func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, where, http.NoBody)
	})
	if err == nil {
		i.spare = &spare{exchange: x, events: make(chan event, 2)}
		go i.spare.run(c.a.job.Progress == nil)
	}
}

// judge takes the answer to the question whether the target is alive.
func (i *inspection) judge(alive bool) *verdict {
	i.probing = false
	if alive {
		i.silent = 0
		return nil
	}
	if i.silent++; i.silent < maxSilent {
		return nil
	}
	return &verdict{err: errDead}
}

// compare takes an event of the spare connection.
func (i *inspection) compare(e event) *verdict {
	whole := i.c.a.job.Progress == nil
	switch {
	case e.response != nil:
		i.compareHead(e.response)
		return nil
	case i.reply != nil && i.reply.StatusCode == http.StatusNotFound:
		return i.unknown(e)
	case e.err != nil && (!errors.Is(e.err, io.EOF) || i.reply == nil):
		i.dropSpare() // this connection broke; the next check opens another
		return nil
	}
	if i.grace() {
		return nil
	}
	if whole || e.err != nil {
		return &verdict{err: errLost}
	}
	v := &verdict{exchange: i.spare.exchange}
	v.exchange.ahead = e.data
	i.spare = nil
	return v
}

// compareHead takes the status of the spare connection.
func (i *inspection) compareHead(r *http.Response) {
	id := r.Header.Get(RequestHeader)
	switch {
	case r.StatusCode == http.StatusNotFound, r.StatusCode == http.StatusOK && (id == "" || id == i.c.a.id()):
		i.reply = r
	default:
		i.c.resumable = false
		i.dropSpare()
	}
}

// unknown takes the body of an answer with status 404. It means that the
// target doesn't know the attempt only if it says so: a target that can't
// resume streams answers 404 as well.
func (i *inspection) unknown(e event) *verdict {
	if !bytes.Contains(e.data, []byte(unknownCode)) {
		i.c.resumable = false
		i.dropSpare()
		return nil
	}
	if i.grace() {
		return nil
	}
	return &verdict{err: errLost}
}

// grace gives the first connection the chance to deliver what the second one
// has just delivered: then the target was slow and the connection is good.
func (i *inspection) grace() bool {
	timer := time.NewTimer(i.c.d.cfg.ReadIdleTimeout / 5)
	defer timer.Stop()
	select {
	case <-i.over:
		return true
	case <-timer.C:
		return false
	}
}

// dropSpare gives up the spare connection. Its goroutine may still read the
// body, which the end of its context closes.
func (i *inspection) dropSpare() {
	if i.spare != nil {
		i.spare.detach()
		i.spare.cancel()
		i.spare, i.reply = nil, nil
	}
}

func (i *inspection) patience() time.Duration {
	if i.first || i.c.a.job.Progress == nil {
		return patienceFirst * i.c.d.cfg.ReadIdleTimeout
	}
	return patienceStream * i.c.d.cfg.ReadIdleTimeout
}
