package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayapond/papayapond/internal/forwarder"
)

// silent returns a handler that streams a number of events, or goes on with them after
// the last one of the caller, and is silent for a while after pauseAfter of them, which
// may be all. It sends the header before the silence if headerFirst is set or events
// precede it.
func silent(to, pauseAfter int, silence time.Duration, headerFirst bool) handler {
	return func(_ int, w io.Writer, r *http.Request) bool {
		header := func() {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Sign: first\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headers.Attempt, r.Header.Get(headers.Attempt))
		}
		if headerFirst || pauseAfter > 0 {
			header()
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
		for i := last + 1; i <= to; i++ {
			if i == pauseAfter+1 {
				time.Sleep(silence)
				if !headerFirst && pauseAfter == 0 {
					header()
				}
			}
			e := event(i)
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e); err != nil {
				return false
			}
		}
		if pauseAfter == to {
			time.Sleep(silence)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

// The log must tell a stream that was ended for the silence of its target from one
// that its target broke off, and say why no other target went on. An incident could
// not be explained without.
func TestEndOfAttemptLogged(t *testing.T) {
	broken := events("first", 1, 3, true)
	stuck := silent(4, 3, time.Minute, true)
	for _, test := range []struct {
		name, path    string
		scripts       []handler
		ended, denied string
	}{
		{"target, once only", "/stream/", []handler{broken}, "target", "route"},
		{"target, no other", "/resume/", []handler{broken}, "target", "targets"},
		{"target, attempts", "/resume/", []handler{broken, broken}, "target", "attempts"},
		{"deadline", "/stream/", []handler{stuck}, "deadline", "deadline"},
		{"silence, then deadline", "/resume/", []handler{stuck, broken}, "silence", "deadline"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			core, logs := observer.New(zap.InfoLevel)
			f := newFixtureWith(t, func(c *forwarder.Config) { c.Logger = zap.New(core) }, test.scripts...)
			if _, _, err := f.post(test.path, nil); err == nil {
				t.Fatal("got a complete response, want a truncated one")
			}
			if entries := logs.FilterMessage("attempt failed").All(); len(entries) == 0 || entries[0].ContextMap()["ended"] != test.ended {
				t.Errorf("got entries %v, want ended=%s", entries, test.ended)
			}
			deadline := time.Now().Add(time.Second)
			for logs.FilterMessage("request ended").Len() == 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			ended := logs.FilterMessage("request ended").All()
			if len(ended) != 1 || ended[0].ContextMap()["denied"] != test.denied || ended[0].ContextMap()["silence"] == nil {
				t.Errorf("got entries %v, want the silence and denied=%s", ended, test.denied)
			}
		})
	}
}

// A caller that leaves during a silence must be told from a target that fails.
func TestCallerLeavesInSilence(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	f := newFixtureWith(t, func(c *forwarder.Config) { c.Logger = zap.New(core) }, silent(4, 0, time.Minute, true))
	c := f.dial("POST /stream/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: i\r\nContent-Length: 0\r\n\r\n")
	time.Sleep(200 * time.Millisecond)
	_ = c.Close()
	deadline := time.Now().Add(2 * time.Second)
	for logs.FilterMessage("request ended").Len() == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	got := logs.FilterMessage("request ended").All()
	if len(got) != 1 || got[0].ContextMap()["outcome"] != "left" {
		t.Fatalf("got entries %v, want the outcome left", got)
	}
	if silence, _ := got[0].ContextMap()["silence"].(time.Duration); silence < 200*time.Millisecond || silence > time.Second {
		t.Errorf("got a silence of %v, want about 200 ms and the time in which the target may close", silence)
	}
}

// useRetryBudget uses up a budget of one retry. The first target must refuse its
// first request.
func (f *fixture) useRetryBudget() {
	f.t.Helper()
	if a, _, err := f.post("/again/", nil); err != nil || a.StatusCode != http.StatusOK {
		f.t.Fatalf("got status %d and %v, want an answer after a retry", a.StatusCode, err)
	}
	time.Sleep(300 * time.Millisecond) // the first target counts as busy meanwhile
}

// once returns a handler that handles its first request with the first handler, and
// all others with the second one.
func once(first, others handler) handler {
	return func(n int, w io.Writer, r *http.Request) bool {
		if n == 1 {
			return first(n, w, r)
		}
		return others(n, w, r)
	}
}

// A sound target may be silent for a second or so and go on. Its stream was ended
// before another target was known to go on with it, and callers got a part of an
// answer, or 502 or 503 in place of it.
func TestSilentTargetGoesOn(t *testing.T) {
	const second = 1100 * time.Millisecond
	refuse := respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", "")
	answer := respond(http.StatusOK, signed, "answer")
	for _, test := range []struct {
		name    string
		silence time.Duration
		others  []handler
		budget  bool // the retry budget is used up
	}{
		{"other target fails", second, []handler{closeConnection}, false},
		{"other target refuses", second, []handler{refuse}, false},
		{"no other target", second, nil, false},
		{"no other target, long", 3 * second, nil, false},
		{"no retry budget", second, []handler{once(answer, closeConnection)}, true},
		{"no retry budget, long", 3 * second, []handler{once(answer, closeConnection)}, true},
	} {
		for name, script := range map[string]handler{
			"before header":      silent(6, 0, test.silence, false),
			"before first event": silent(6, 0, test.silence, true),
			"between events":     silent(6, 3, test.silence, true),
		} {
			t.Run(test.name+", "+name, func(t *testing.T) {
				t.Parallel()
				if test.budget {
					script = once(refuse, script)
				}
				f := newFixtureWith(t, func(c *forwarder.Config) { c.MinRetries = 1 }, append([]handler{script}, test.others...)...)
				if test.budget {
					f.useRetryBudget()
				}
				a, body, err := f.post("/long/", nil)
				if err != nil || a.StatusCode != http.StatusOK || body != stream(6) {
					t.Errorf("got status %d, %q and %v, want the whole stream", a.StatusCode, body, err)
				}
			})
		}
	}
}

// If the target that a stream was moved to refuses it or fails, the silent target must
// go on after the last relayed event. It is no further target that runs the request.
func TestReturnToSilentTarget(t *testing.T) {
	for _, test := range []struct {
		name   string
		second handler
		last   int // event that was relayed before the return
	}{
		{"refused", respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", ""), 3},
		{"lost", closeConnection, 3},
		{"broken off", events("second", 4, 5, true), 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			first := once(silent(6, 3, 4*time.Second, true), events("first", test.last+1, 6, false))
			f := newFixture(t, first, test.second)
			_, body, err := f.post("/long/", nil)
			if err != nil || body != stream(6) {
				t.Errorf("got %q and %v, want the whole stream", body, err)
			}
			if got := f.requests(); len(got) != 3 || got[2].Header.Get("Last-Event-Id") != strconv.Itoa(test.last) || got[2].Header.Get(headers.Target) != "a" {
				t.Errorf("got %d requests, want the third to go on at the first target after event %d", len(got), test.last)
			}
		})
	}
}

// A caller that doesn't read for a while must not have its stream moved, since its
// target isn't silent.
func TestSlowCaller(t *testing.T) {
	t.Parallel()
	large := func(_ int, w io.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headers.Attempt, r.Header.Get(headers.Attempt))
		data := strings.Repeat("x", 32<<10)
		for i := range 1000 {
			e := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, data)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
	f := newFixture(t, large, closeConnection)
	c := f.dial("POST /long/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: i\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	defer c.Close()
	time.Sleep(2500 * time.Millisecond)
	if _, err := io.Copy(io.Discard, c); err != nil {
		t.Error(err)
	}
	if got := len(f.requests()); got != 1 {
		t.Errorf("got %d requests at targets, want 1", got)
	}
}

// deadlineWriter records when the deadline for writes was last set.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	set time.Time
}

// SetWriteDeadline implements the method that http.ResponseController looks for.
func (w *deadlineWriter) SetWriteDeadline(time.Time) error {
	w.set = time.Now()
	return nil
}

// The end of a stream must have the whole time for a write, also if its target takes
// long from the last event to the end. The deadline of the last event would cut it.
func TestWriteDeadlineOfEnd(t *testing.T) {
	const wait = 200 * time.Millisecond
	f := newFixture(t, silent(3, 3, wait, true))
	r := httptest.NewRequest(http.MethodPost, "/stream/", strings.NewReader("question"))
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set(headers.Attempt, "id1")
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	f.forwarder.ServeHTTP(w, r)
	if got := w.Body.String(); got != stream(3) {
		t.Errorf("got %q, want the whole stream", got)
	}
	if got := time.Since(w.set); got > wait/2 {
		t.Errorf("the deadline was last set %v before the end, want it set at the end", got)
	}
}

// A target that is silent may run the request, also if it closes the connection
// cleanly when the request is canceled. Such a run counts: requests ran at three
// targets where the route allows two.
func TestSilentRunCounts(t *testing.T) {
	t.Parallel()
	mute := func(_ int, w io.Writer, _ *http.Request) bool {
		_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the request is canceled
		return false
	}
	f := newFixture(t, mute, mute, mute)
	a, _, err := f.post("/long/", func(r *http.Request) { r.Header.Set(headers.Deadline, "4500") })
	if err != nil || a.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got status %d and %v, want %d", a.StatusCode, err, http.StatusGatewayTimeout)
	}
	if got, want := len(f.requests()), 2; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}
