package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayapond/papayapond/internal/forwarder"
)

// silent returns a handler that streams events from and to the given numbers and
// is silent for a while before the one after the first pauseAfter events. It sends
// the header before the silence if headerFirst is set.
func silent(sign string, to, pauseAfter int, silence time.Duration, headerFirst bool) handler {
	return func(_ int, w io.Writer, r *http.Request) bool {
		header := func() {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Sign: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headers.Attempt, r.Header.Get(headers.Attempt), sign)
		}
		if headerFirst || pauseAfter > 0 {
			header()
		}
		for i := 1; i <= to; i++ {
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
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

// The log must tell a stream that was ended for the silence of its target from one
// that its target broke off, and say why no other target went on. An incident could
// not be explained without.
func TestEndOfAttemptLogged(t *testing.T) {
	broken := events("first", 1, 3, true)
	stuck := silent("first", 4, 3, time.Minute, true)
	for _, test := range []struct {
		name, path    string
		scripts       []handler
		ended, denied string
	}{
		{"target, once only", "/stream/", []handler{broken}, "target", "route"},
		{"target, no other", "/resume/", []handler{broken}, "target", "targets"},
		{"target, attempts", "/resume/", []handler{broken, broken}, "target", "attempts"},
		{"deadline", "/stream/", []handler{stuck}, "deadline", "deadline"},
		{"silence, other fails", "/resume/", []handler{stuck, broken}, "silence", "attempts"},
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
	f := newFixtureWith(t, func(c *forwarder.Config) { c.Logger = zap.New(core) }, silent("first", 4, 0, time.Minute, true))
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
