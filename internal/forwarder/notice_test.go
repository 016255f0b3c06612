package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

const leaving = "X-Leaving: 1\r\n"

// leavingStream is a handler that streams under a header that says that the target is
// leaving.
func leavingStream(_ int, w io.Writer, r *http.Request) bool {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headers.Attempt, r.Header.Get(headers.Attempt), signed, leaving)
	e := event(1)
	_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n0\r\n\r\n", len(e), e)
	return true
}

// sentToFirst returns the number of requests that the first target has received.
func (f *fixture) sentToFirst() int {
	n := 0
	for _, r := range f.requests() {
		if r.Header.Get(headers.Target) == "a" {
			n++
		}
	}
	return n
}

// list sets the list of targets after a change of the first one.
func (f *fixture) list(change func(first *wire.Listing)) {
	listings := append([]*wire.Listing(nil), f.listings...)
	listings[0] = proto.CloneOf(listings[0])
	change(listings[0])
	f.balancer.SetTargets(listings)
}

// A target that says in any answer that it is leaving must get nothing more from then
// on, whatever the list of targets says; the header was passed on and ignored. It holds
// for its lifetime, not for the next one under its name.
func TestTargetLeaves(t *testing.T) {
	for _, test := range []struct {
		name, path string
		script     handler
	}{
		{"answer", "/once/", respond(http.StatusOK, signed+leaving, "answer")},
		{"refusal", "/once/", respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n"+leaving, "")},
		{"error", "/once/", respond(http.StatusInternalServerError, signed+leaving, "sorry")},
		{"error, repeatable", "/again/", respond(http.StatusInternalServerError, signed+leaving, "sorry")},
		{"stream", "/stream/", leavingStream},
		{"resumable stream", "/resume/", leavingStream},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.script, respond(http.StatusOK, signed, "answer"))
			send := func(why string, want int) {
				t.Helper()
				for range 5 {
					if _, _, err := f.post("/again/", nil); err != nil {
						t.Fatal(err)
					}
				}
				if got := f.sentToFirst(); got != want {
					t.Errorf("%s: got %d requests at the leaving target, want %d", why, got, want)
				}
			}
			if _, _, err := f.post(test.path, nil); err != nil {
				t.Fatal(err)
			}
			send("after the answer", 1)
			f.list(func(*wire.Listing) {})
			send("after a list that doesn't know yet", 1)
			f.balancer.SetTargets(f.listings[1:])
			f.list(func(*wire.Listing) {})
			send("listed again", 1)
			f.list(func(l *wire.Listing) { l.Born++ })
			send("after a restart", 2)
		})
	}
}

// If the only target is leaving, a request must be refused at once, also if it could
// probe the target, and a stream that breaks off must not be resumed there.
func TestOnlyTargetLeaves(t *testing.T) {
	f := newFixture(t, respond(http.StatusInternalServerError, signed+leaving, "sorry"))
	if a, _, err := f.post("/again/", nil); err != nil || a.StatusCode != http.StatusInternalServerError {
		t.Fatalf("got status %d and %v, want the answer of the target", a.StatusCode, err)
	}
	for _, path := range []string{"/once/", "/again/", "/stream/", "/resume/"} {
		a, _, err := f.post(path, nil)
		if err != nil || a.StatusCode != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
			t.Errorf("%s: got status %d and %v, want 503 with Retry-After", path, a.StatusCode, err)
		}
	}
	if got := f.sentToFirst(); got != 1 {
		t.Errorf("got %d requests at the leaving target, want 1", got)
	}
	f = newFixture(t, func(_ int, w io.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headers.Attempt, r.Header.Get(headers.Attempt), signed, leaving)
		e := event(1)
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		return false
	})
	if _, _, err := f.post("/resume/", nil); err == nil {
		t.Error("got a whole stream, want a truncated one")
	}
	if got := len(f.requests()); got != 1 {
		t.Errorf("got %d requests at the leaving target, want 1", got)
	}
}

// withoutTokens makes a request free of charge.
func withoutTokens(r *http.Request) { r.Header.Del(headers.Usage) }

// A target that answers 503 with Retry-After must get no request of any kind until the
// time has passed: no probe, no last resort and no retry. Other targets serve meanwhile.
func TestTargetRests(t *testing.T) {
	const rest = 1200 * time.Millisecond
	refusal := respond(http.StatusServiceUnavailable, "X-Refused: 1\r\nRetry-After: 1.2\r\n", "")
	failure := respond(http.StatusServiceUnavailable, signed+"Retry-After: 1.2\r\n", "sorry")
	answer := respond(http.StatusOK, signed, "answer")
	for _, test := range []struct {
		name          string
		first, others handler
	}{
		{"refusal", refusal, answer},
		{"failure", failure, answer},
		{"others fail", refusal, closeConnection},
		{"others refuse", refusal, respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", "")},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, once(test.first, answer), test.others)
			if _, _, err := f.post("/once/", withoutTokens); err != nil {
				t.Fatal(err)
			}
			begun := time.Now()
			for time.Since(begun) < rest-200*time.Millisecond {
				for _, path := range []string{"/once/", "/again/", "/resume/"} {
					if _, _, err := f.post(path, withoutTokens); err != nil {
						t.Fatal(err)
					}
				}
				if got := f.sentToFirst(); got != 1 {
					t.Fatalf("got %d requests at the target after %v, want 1 for %v", got, time.Since(begun), rest)
				}
				time.Sleep(20 * time.Millisecond)
			}
			f.balancer.SetTargets(f.listings[:1])
			deadline := begun.Add(rest + 5*time.Second)
			for f.sentToFirst() == 1 && time.Now().Before(deadline) {
				if _, _, err := f.post("/again/", withoutTokens); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if f.sentToFirst() == 1 {
				t.Error("got no request at the target after its rest")
			}
		})
	}
}

// When all targets rest, a request must be refused at once, with a time to come back at
// which the first rest has ended, and nothing must be sent or charged.
func TestAllTargetsRest(t *testing.T) {
	refuse := func(rest string) handler {
		return respond(http.StatusServiceUnavailable, "X-Refused: 1\r\nRetry-After: "+rest+"\r\n", "")
	}
	f := newFixture(t, refuse("4"), refuse("2.5"))
	begun := time.Now()
	for i := range 20 {
		asked := time.Now()
		a, _, err := f.post("/again/", nil)
		if err != nil {
			t.Fatal(err)
		}
		after, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		least := (2500*time.Millisecond - time.Since(begun)).Seconds()
		if took := time.Since(asked); a.StatusCode != http.StatusServiceUnavailable || after < least || after > 4 || took > 300*time.Millisecond {
			t.Errorf("request %d: got status %d, Retry-After %v after %v, want 503 and %.2f to 4 at once", i, a.StatusCode, after, took, least)
		}
	}
	if got := len(f.requests()); got != 2 {
		t.Errorf("got %d requests at targets, want one at each", got)
	}
	if got := f.spender.Declare()[0].Used; got != 0 {
		t.Errorf("got %d tokens charged, want none", got)
	}
}

// A time that can't be read, or is none, must not take a target out of service.
func TestInvalidRetryAfter(t *testing.T) {
	for _, value := range []string{"", "0", "-1", "soon", "NaN", "inf", "Wed, 21 Oct 2065 07:28:00 GMT"} {
		f := newFixture(t, respond(http.StatusServiceUnavailable, "X-Refused: 1\r\nRetry-After: "+value+"\r\n", ""))
		for range 2 {
			if _, _, err := f.post("/once/", nil); err != nil {
				t.Fatal(err)
			}
		}
		if got := f.sentToFirst(); got != 2 {
			t.Errorf("%q: got %d requests at the target, want 2", value, got)
		}
	}
}
