package forwarder_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pgregory.net/rapid"
)

const (
	randomEvents = 6 // of a stream
	errorEvent   = "event: error\ndata: sorry\n\n"
	// forever is longer than any request.
	forever = time.Minute
)

// action is what a target does with a request.
type action int

const (
	doStream     action = iota // as far as step.To, then step.End
	doRefuse                   // says that it did not run the request
	doUnmarked                 // status 503 without that statement
	doMisdirect                // says that it is another target
	doFail                     // runs the request and answers with an error
	doDisconnect               // closes the connection
	numActions
)

// ending is how a target ends a stream.
type ending int

const (
	endWhole     ending = iota // sends all events
	endTorn                    // breaks off within an event
	endClose                   // breaks off between events
	endError                   // sends an event with an error and ends the stream
	endErrorTorn               // sends an event with an error and breaks off
	endRepeat                  // sends the last event again, and all others
	endSkip                    // leaves an event out
	numEndings
)

// step is what a target does with one of its requests.
type step struct {
	Do         action
	HeaderWait time.Duration // before the header
	PauseAfter int           // number of events
	Pause      time.Duration
	To         int // last event before the end
	End        ending
	Stubborn   bool // sends the rest if it is canceled
	Leaving    bool
	Rest       string // Retry-After of a refusal
	Limit      string
}

// drawStep draws a step. Most steps are sound, so that most streams get far.
func drawStep(t *rapid.T) step {
	chance := func(name string, percent int) bool { return rapid.IntRange(0, 99).Draw(t, name) < percent }
	pause := rapid.SampledFrom([]time.Duration{0, 0, 0, 20 * time.Millisecond, 1100 * time.Millisecond, 2500 * time.Millisecond, forever})
	s := step{
		HeaderWait: pause.Draw(t, "header wait"), PauseAfter: rapid.IntRange(0, randomEvents).Draw(t, "pause after"), Pause: pause.Draw(t, "pause"),
		To: rapid.IntRange(0, randomEvents-1).Draw(t, "to"),
	}
	if chance("other action", 45) {
		s.Do = action(rapid.IntRange(0, int(numActions)-1).Draw(t, "action"))
	}
	if chance("bad end", 55) {
		s.End = ending(rapid.IntRange(0, int(numEndings)-1).Draw(t, "end"))
	}
	s.Stubborn = chance("stubborn", 30)
	s.Leaving = chance("leaving", 4)
	if chance("rest", 15) {
		s.Rest = rapid.SampledFrom([]string{"0.4", "2.5"}).Draw(t, "rest time")
	}
	if chance("limit", 6) {
		s.Limit = rapid.SampledFrom([]string{"0.5", "20"}).Draw(t, "rate")
	}
	return s
}

// visit is one request at a target, as the target has seen it.
type visit struct {
	caller, target string
	index          int // of the target's step
	step           step
	begun, ended   time.Time
	canceled       time.Time // time at which the forwarder canceled it; zero if it didn't
	said           time.Time // time at which the target sent its header, unless canceled before
	events         int
	ran            bool // the target worked on the request
}

// randomTarget follows its steps, one a request.
type randomTarget struct {
	id, version string
	steps       []step

	mu     sync.Mutex
	visits []*visit
}

// listen waits in the background until the forwarder closes its side of the
// connection, which cancels the request. Stop ends the wait.
func listen(c net.Conn) (canceled <-chan struct{}, stop func()) {
	closed, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if _, err := c.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
			close(closed)
		}
	}()
	return closed, func() {
		_ = c.SetReadDeadline(time.Now())
		<-ended
		_ = c.SetReadDeadline(time.Time{})
	}
}

func isTimeout(err error) bool {
	late := net.Error(nil)
	return errors.As(err, &late) && late.Timeout()
}

// serve is the handler of the target.
func (g *randomTarget) serve(n int, w io.Writer, r *http.Request) bool {
	index := (n - 1) % len(g.steps)
	v := &visit{caller: r.Header.Get(headers.Attempt), target: g.id, index: index, step: g.steps[index], begun: time.Now()}
	g.mu.Lock()
	g.visits = append(g.visits, v)
	g.mu.Unlock()
	c := w.(net.Conn)
	canceled, stop := listen(c)
	defer stop()
	p := &play{g: g, v: v, w: c, r: r, canceled: canceled, stop: stop}
	keep := p.run()
	g.mu.Lock()
	v.ended = time.Now()
	g.mu.Unlock()
	return keep
}

// play is a target's work on one request.
type play struct {
	g        *randomTarget
	v        *visit
	w        net.Conn
	r        *http.Request
	canceled <-chan struct{}
	stop     func()
}

// wait waits and reports whether the target goes on with the request.
func (p *play) wait(d time.Duration) bool {
	select {
	case <-p.canceled:
	default:
		select {
		case <-p.canceled:
		case <-time.After(d):
			return true
		}
	}
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	if p.v.canceled.IsZero() {
		p.v.canceled = time.Now()
	}
	return p.v.step.Stubborn
}

// update changes the visit.
func (p *play) update(change func(v *visit)) {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	change(p.v)
}

func (p *play) run() bool {
	s := p.v.step
	if !p.wait(s.HeaderWait) {
		return false // an engine that drops a request before its first event hasn't run it
	}
	switch s.Do {
	case doRefuse:
		return p.answer(http.StatusServiceUnavailable, "X-Refused: 1\r\n"+p.rest(), "")
	case doUnmarked:
		return p.answer(http.StatusServiceUnavailable, signed+p.rest(), "busy")
	case doMisdirect:
		return p.answer(http.StatusMisdirectedRequest, "", "")
	case doFail:
		p.update(func(v *visit) { v.ran = true })
		return p.answer(http.StatusInternalServerError, signed, "sorry")
	case doDisconnect:
		// After a cancel, this is how a target drops a request that it hasn't begun.
		p.update(func(v *visit) { v.ran = v.canceled.IsZero() })
		return false
	}
	return p.stream()
}

// rest returns the header of a target that wants no requests for a time.
func (p *play) rest() string {
	if p.v.step.Rest == "" {
		return ""
	}
	return "Retry-After: " + p.v.step.Rest + "\r\n"
}

// notices returns the headers that say something about further requests.
func (p *play) notices() string {
	text := ""
	if p.v.step.Leaving {
		text += leaving
	}
	if p.v.step.Limit != "" {
		text += "X-Limit: " + p.v.step.Limit + "\r\n"
	}
	return text
}

// answer sends an answer without events.
func (p *play) answer(status int, extra, body string) bool {
	p.update(func(v *visit) { v.said = time.Now() })
	p.stop()
	return respond(status, extra+p.notices(), body)(1, p.w, p.r)
}

// chunk sends a part of a stream.
func (p *play) chunk(text string) bool {
	_, err := fmt.Fprintf(p.w, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// event sends an event.
func (p *play) event(i int) bool {
	p.update(func(v *visit) { v.events, v.ran = v.events+1, true })
	return p.chunk(randomEvent(p.v.caller, p.g.version, i))
}

// randomEvent returns an event of the one stream that a version writes for a caller.
func randomEvent(caller, version string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", i, caller, version, i)
}

// stream sends a stream, or the rest of it after the last event of the caller.
func (p *play) stream() bool {
	s := p.v.step
	p.update(func(v *visit) { v.said = time.Now() })
	_, _ = fmt.Fprintf(p.w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		headers.Attempt, p.v.caller, signed, p.notices())
	last, goesOn := 0, false
	if n, err := strconv.Atoi(p.r.Header.Get("Last-Event-Id")); err == nil {
		last, goesOn = n, true
	}
	to := randomEvents
	if s.End != endWhole {
		to = s.To
	}
	for i := last + 1; i <= to; i++ {
		if i == s.PauseAfter+1 && !p.wait(s.Pause) || !p.wait(0) {
			return false
		}
		if !p.event(i) {
			return false
		}
	}
	return p.end(max(last, to), goesOn)
}

// end ends a stream after an event. Only a target that goes on with a stream can be
// told to have sent wrong events.
func (p *play) end(last int, goesOn bool) bool {
	s := p.v.step
	switch {
	case s.End == endTorn:
		_, _ = io.WriteString(p.w, "9\r\nid: 9\r\nda")
		return false
	case s.End == endError, s.End == endErrorTorn:
		p.update(func(v *visit) { v.ran = true })
		p.chunk(errorEvent)
		if s.End == endErrorTorn {
			return false
		}
	case s.End == endClose, s.End != endWhole && (last == 0 || !goesOn):
		return false
	case s.End == endRepeat:
		for i := last; i <= randomEvents; i++ {
			p.event(i)
		}
	case s.End == endSkip:
		if last+2 > randomEvents {
			return false
		}
		for i := last + 2; i <= randomEvents; i++ {
			p.event(i)
		}
	}
	p.stop()
	_, _ = io.WriteString(p.w, "0\r\n\r\n")
	return true
}
