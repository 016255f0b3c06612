package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// crashOn returns a handler of an engine that crashes when it begins to answer a
// prompt with the part, and streams three events otherwise.
func crashOn(part string) handler {
	answer := events("s", 1, 3, false)
	return func(n int, w io.Writer, r *http.Request) bool {
		if !strings.Contains(r.Header.Get(headers.Parts), part+":") {
			return answer(n, w, r)
		}
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headers.Attempt, r.Header.Get(headers.Attempt))
		return false
	}
}

// withParts sets the parts of a prompt.
func withParts(parts string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(headers.Parts, parts) }
}

// A part of a prompt that crashes each target must stop reaching targets, though
// no two of its requests are alike. Requests that share the parts beside it must
// be served. Blame for whole requests let 47 targets crash one after another.
func TestCrashingPart(t *testing.T) {
	const (
		targets = 16
		rounds  = 12
		// maxSent is the number of crashes after which no such request may reach
		// a target.
		maxSent = 5
	)
	var scripts []handler
	for range targets {
		scripts = append(scripts, crashOn("bad"))
	}
	f := newFixture(t, scripts...)
	for i := range rounds {
		_, _, _ = f.post("/resume/", withParts(fmt.Sprintf("top:5,shop:5,bad:5,own%d:5", i))) // a failure is expected
		a, body, err := f.post("/resume/", withParts(fmt.Sprintf("top:5,shop:5,other%d:5", i)))
		if err != nil || a.StatusCode != http.StatusOK || body != stream(3) {
			t.Errorf("sound request %d: got status %d, body %q, error %v", i, a.StatusCode, body, err)
		}
	}
	sent := 0
	for _, r := range f.requests() {
		if strings.Contains(r.Header.Get(headers.Parts), "bad:") {
			sent++
		}
	}
	if sent > maxSent {
		t.Errorf("got %d requests with the crashing part at targets, want at most %d", sent, maxSent)
	}
}

// Targets that say that they are leaving end in the middle of streams. That must not get
// the parts of these prompts refused: a release that met three streams with a shared part
// kept all prompts with it from being served.
func TestLeavingTargetsEnd(t *testing.T) {
	end := func(_ int, w io.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headers.Attempt, r.Header.Get(headers.Attempt), signed, leaving)
		return false
	}
	f := newFixture(t, events("s", 1, 3, false), end, end, end)
	f.list(func(first *wire.Listing) { first.Leaving = true })
	for i := range 3 {
		_, _, _ = f.post("/stream/", withParts(fmt.Sprintf("shop:5,own%d:5", i))) // a failure is expected
		time.Sleep(60 * time.Millisecond)                                         // the ends aren't simultaneous
	}
	f.list(func(*wire.Listing) {})
	a, body, err := f.post("/stream/", withParts("shop:5,other:5"))
	if err != nil || a.StatusCode != http.StatusOK || body != stream(3) {
		t.Errorf("got status %d, body %q, error %v, want the stream", a.StatusCode, body, err)
	}
	if got, want := len(f.requests()), 4; got != want {
		t.Errorf("got %d requests at targets, want %d", got, want)
	}
}

// A target that sent a response header has begun to run the request. If it ends
// after the request was canceled, the caller must not be told that nothing has run:
// it would be told so of a run that was cut.
func TestCanceledAfterHeader(t *testing.T) {
	begin := func(_ int, w io.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headers.Attempt, r.Header.Get(headers.Attempt))
		time.Sleep(900 * time.Millisecond) // longer than the timeout for the first event
		return false
	}
	f := newFixture(t, begin, respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", ""))
	a, _, err := f.post("/resume/", nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := a.StatusCode, http.StatusBadGateway; got != want {
		t.Errorf("got status %d, want %d: the first target has begun", got, want)
	}
}

// unframed returns a handler of a target that ends its answer with the connection.
func unframed(body string) handler {
	return func(_ int, w io.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\n\r\n%s", headers.Attempt, r.Header.Get(headers.Attempt), body)
		return false
	}
}

// A stream without a length and without chunks ends with its connection, and so
// does one of a target that crashes. One that ends inside an event, or before the
// first one, must not look complete to the caller.
func TestUnframedStream(t *testing.T) {
	for _, test := range []struct {
		name, body string
		wantStatus int
		wantBody   string
		wantWhole  bool
	}{
		{"complete", stream(3), http.StatusOK, stream(3), true},
		{"ends inside an event", stream(2) + "id: 3\ndata:", http.StatusOK, stream(2), false},
		{"ends before the first event", "", http.StatusBadGateway, "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, unframed(test.body))
			a, body, err := f.post("/stream/", nil)
			if a.StatusCode != test.wantStatus || body != test.wantBody || (err == nil) != test.wantWhole {
				t.Errorf("got status %d, body %q, error %v, want status %d, body %q, whole %v", a.StatusCode, body, err, test.wantStatus, test.wantBody, test.wantWhole)
			}
		})
	}
}

// Requests that differ only in the prompt that their headers declare are different
// requests. Taken for the same one, those of an account that broke on different
// targets got all others of the account refused.
func TestDigestHasPrompt(t *testing.T) {
	crash := crashOn("bad")
	var scripts []handler
	for range 8 {
		scripts = append(scripts, func(n int, w io.Writer, r *http.Request) bool {
			return !strings.Contains(r.Header.Get(headers.Parts), "unlucky:") && crash(n, w, r)
		})
	}
	f := newFixture(t, scripts...)
	for _, parts := range []string{"bad:5,own1:5", "unlucky:5,own2:5", "bad:5,own3:5"} {
		_, _, _ = f.post("/resume/", withParts(parts)) // a failure is expected
		time.Sleep(60 * time.Millisecond)              // the crashes aren't simultaneous
	}
	a, body, err := f.post("/resume/", withParts("sound:5,own4:5"))
	if err != nil || a.StatusCode != http.StatusOK || body != stream(3) {
		t.Errorf("sound request: got status %d, body %q, error %v, want its stream", a.StatusCode, body, err)
	}
}
