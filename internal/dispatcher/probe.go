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
	// maxFailedProbes is the number of consecutive failed liveness probes after
	// which a target counts as unreachable.
	maxFailedProbes = 2
	// unknownStreamCode is part of the response of a target that doesn't know a
	// stream.
	unknownStreamCode = `"code":"missing"`
	// backupRetryChecks is the number of checks after which a backup request
	// without a response is sent again.
	backupRetryChecks = 10
)

// Errors of an attempt whose connection stalled.
var (
	errTargetUnreachable = eris.New("connection stalled and target does not respond on a new one")
	errConnectionLost    = eris.New("connection stalled while target responds on a new one")
	errNoProgress        = eris.New("target is alive but makes no progress")
)

// silenceProbe finds out why a connection is silent. It requests the same stream
// on a second connection: whichever delivers first shows whether the target is
// slow or the connection is dead.
type silenceProbe struct {
	r *responseReader
	// stop is closed when the connection delivers or the reader is finished.
	// r.mu guards stopped, which is set at the same time.
	stop    chan struct{}
	stopped bool

	silentSince      time.Time
	consumed         int  // content events
	awaitingHeader   bool // the response header has not arrived
	backup           *backupStream
	backupResponse   *http.Response
	failedProbes     int // consecutive
	checks           int
	liveness         chan bool
	checkingLiveness bool
}

// probeResult is the result of a probe: an error, or the exchange on which the
// stream continues.
type probeResult struct {
	err      error
	exchange *exchange
}

// run returns the result of the probe, or nil if the connection delivered.
func (p *silenceProbe) run() *probeResult {
	reset := p.r.generation.Done()
	timer := time.NewTimer(p.r.d.cfg.ReadIdleTimeout)
	defer timer.Stop()
	defer p.closeBackup()
	p.check()
	for {
		var events chan backupEvent
		if p.backup != nil {
			events = p.backup.events
		}
		var res *probeResult
		select {
		case <-p.stop:
			return nil
		case e := <-events:
			res = p.onBackupEvent(e)
		case alive := <-p.liveness:
			res = p.onLiveness(alive)
		case <-reset:
			reset = nil
			p.check()
		case <-timer.C:
			if time.Since(p.silentSince) > p.progressTimeout() {
				return &probeResult{err: errNoProgress}
			}
			p.check()
			timer.Reset(p.r.d.cfg.ReadIdleTimeout)
		}
		if res != nil {
			return res
		}
	}
}

// check probes on new connections whether the target is alive and, if the
// stream is resumable, requests it.
func (p *silenceProbe) check() {
	r := p.r
	if !p.checkingLiveness {
		p.checkingLiveness = true
		go func() { p.liveness <- r.pool.isAlive() }()
	}
	p.checks++
	if p.backup != nil && p.backupResponse == nil && p.checks%backupRetryChecks == 0 {
		p.closeBackup()
	}
	if p.backup != nil || !r.resumable.Load() {
		return
	}
	url := "http://" + r.pool.address + "/v1/streams/" + r.attempt.id() + "?from=" + strconv.Itoa(p.consumed)
	x, err := newExchange(r.ctx, r.d.unpooled, func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	})
	if err == nil {
		p.backup = &backupStream{exchange: x, events: make(chan backupEvent, 2)}
		go p.backup.run(r.attempt.job.Progress == nil)
	}
}

// onLiveness handles the result of a liveness probe.
func (p *silenceProbe) onLiveness(alive bool) *probeResult {
	p.checkingLiveness = false
	if alive {
		p.failedProbes = 0
		return nil
	}
	if p.failedProbes++; p.failedProbes < maxFailedProbes {
		return nil
	}
	return &probeResult{err: errTargetUnreachable}
}

// onBackupEvent handles an event of the backup connection.
func (p *silenceProbe) onBackupEvent(e backupEvent) *probeResult {
	nonStream := p.r.attempt.job.Progress == nil
	switch {
	case e.response != nil:
		p.onBackupResponse(e.response)
		return nil
	case p.backupResponse != nil && p.backupResponse.StatusCode == http.StatusNotFound:
		return p.onUnknownStream(e)
	case e.err != nil && (!errors.Is(e.err, io.EOF) || p.backupResponse == nil):
		p.closeBackup() // the connection broke; the next check opens another
		return nil
	}
	if p.originalDelivers() {
		return nil
	}
	if nonStream || e.err != nil {
		return &probeResult{err: errConnectionLost}
	}
	res := &probeResult{exchange: p.backup.exchange}
	res.exchange.buffered = e.data
	p.backup = nil
	return res
}

// onBackupResponse handles the response header of the backup connection. The
// address may belong to another lifetime by now, so that a stream must name the
// attempt.
func (p *silenceProbe) onBackupResponse(r *http.Response) {
	id := r.Header.Get(RequestHeader)
	switch {
	case r.StatusCode == http.StatusNotFound, r.StatusCode == http.StatusOK && id == p.r.attempt.id():
		p.backupResponse = r
	default:
		p.r.resumable.Store(false)
		p.closeBackup()
	}
}

// onUnknownStream handles the body of a response with status 404. Only an
// explicit error code means that the target doesn't know the attempt: a target
// that can't resume streams responds with 404 as well.
func (p *silenceProbe) onUnknownStream(e backupEvent) *probeResult {
	if !bytes.Contains(e.data, []byte(unknownStreamCode)) {
		p.r.resumable.Store(false)
		p.closeBackup()
		return nil
	}
	if p.originalDelivers() {
		return nil
	}
	return &probeResult{err: errConnectionLost}
}

// originalDelivers reports whether the original connection delivers shortly
// after the backup did. If so, the target was slow and the connection is good.
func (p *silenceProbe) originalDelivers() bool {
	timer := time.NewTimer(p.r.d.cfg.ReadIdleTimeout / 5)
	defer timer.Stop()
	select {
	case <-p.stop:
		return true
	case <-timer.C:
		return false
	}
}

// closeBackup aborts the backup stream. It cancels the context and leaves the
// body open, since the goroutine of the stream may still be reading it.
func (p *silenceProbe) closeBackup() {
	if p.backup != nil {
		p.backup.detach()
		p.backup.cancel()
		p.backup, p.backupResponse = nil, nil
	}
}

func (p *silenceProbe) progressTimeout() time.Duration {
	if p.awaitingHeader || p.r.attempt.job.Progress == nil {
		return headerStallFactor * p.r.d.cfg.ReadIdleTimeout
	}
	return streamStallFactor * p.r.d.cfg.ReadIdleTimeout
}
