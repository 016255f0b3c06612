package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/forwarder"
)

// late returns a handler of a target that streams a number of events, is silent until
// its request is canceled, then sends a text and breaks off.
func late(to int, text string) handler {
	return func(n int, w io.Writer, r *http.Request) bool {
		if to > 0 {
			silent(to, to, 0, true)(n, unended{w}, r)
		}
		_, _ = w.(net.Conn).Read(make([]byte, 1)) // returns when the request is canceled
		if to == 0 {
			return ids(text+"id: 9")(n, w, r)
		}
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
		return false
	}
}

// unended drops the end of a chunked response.
type unended struct{ io.Writer }

// Write implements io.Writer.
func (u unended) Write(b []byte) (int, error) {
	if string(b) == "0\r\n\r\n" {
		return len(b), nil
	}
	return u.Writer.Write(b)
}

// An event of a silent target may arrive while its stream is being moved. The first one
// would bind the stream to a software version that the chosen target may not have, and
// after one without an id no target can go on.
func TestEventDuringMove(t *testing.T) {
	for _, test := range []struct {
		name, second string // version of the second target
		first        handler
		last         string // event after which the second target goes on
	}{
		{"first event, same version", "v1", late(0, stream(3)), ""},
		{"first event, other version", "v2", late(0, stream(3)), ""},
		{"later event", "v1", late(3, event(4)), "3"},
		{"event without an id", "v1", late(3, "data: x\n\n"), "3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, test.first, silent(6, 6, 0, true))
			f.setVersions("v1", test.second)
			_, body, err := f.post("/long/", nil)
			if err != nil || body != stream(6) {
				t.Errorf("got %q and %v, want the whole stream", body, err)
			}
			got := f.requests()
			if len(got) != 2 || got[1].Header.Get(headers.Target) != "b" || got[1].Header.Get("Last-Event-Id") != test.last {
				t.Errorf("got %d requests at targets, want a second one at b to go on after %q", len(got), test.last)
			}
		})
	}
}

// A target may say that it is leaving or that it rests while a stream is being moved
// to it. It must not get the stream.
func TestNoticeDuringMove(t *testing.T) {
	for name, mark := range map[string]func(*balancer.Pick){
		"leaves": func(p *balancer.Pick) { p.MarkLeaving() },
		"rests":  func(p *balancer.Pick) { p.MarkResting(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var f *fixture
			first := once(func(_ int, w io.Writer, _ *http.Request) bool {
				_, _ = w.(net.Conn).Read(make([]byte, 1)) // returns when the request is canceled
				p, err := f.balancer.Choose(balancer.Query{Pool: "p", Only: "b"})
				if err != nil {
					t.Error(err)
					return false
				}
				mark(p)
				p.Done(balancer.Refused)
				return false
			}, events("first", 1, 6, false))
			f = newFixture(t, first, events("second", 1, 6, false))
			_, body, err := f.post("/long/", nil)
			if err != nil || body != stream(6) || len(f.requests()) != 2 || f.sentToFirst() != 2 {
				t.Errorf("got %q, %v and %d requests, %d of them at the first target, want the whole stream and 2",
					body, err, len(f.requests()), f.sentToFirst())
			}
		})
	}
}

// Targets that refuse a moved stream must not use up the requests to targets that
// are left, so that it can't return to its silent target.
func TestRefusalsOfMovedStream(t *testing.T) {
	refuse := respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", "")
	for n := 1; n <= 4; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			scripts := []handler{once(silent(6, 3, 4*time.Second, true), events("first", 4, 6, false))}
			for range n {
				scripts = append(scripts, refuse)
			}
			f := newFixture(t, scripts...)
			f.balancer.SetTargets(f.listings[:1])
			time.AfterFunc(500*time.Millisecond, func() { f.balancer.SetTargets(f.listings) })
			_, body, err := f.post("/long/", nil)
			if err != nil || body != stream(6) {
				t.Errorf("got %q and %v, want the whole stream", body, err)
			}
		})
	}
}

// The return to a silent target needs a retry. If the budget has only the one for the
// move, the stream must wait for its target, which goes on.
func TestBudgetOfReturn(t *testing.T) {
	for name, second := range map[string]handler{
		"refused": respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", ""), "lost": closeConnection,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := once(silent(6, 3, 3*time.Second, true), events("first", 4, 6, false))
			f := newFixtureWith(t, func(c *forwarder.Config) { c.MinRetries = 1 }, first, second)
			_, body, err := f.post("/long/", nil)
			if err != nil || body != stream(6) {
				t.Errorf("got %q and %v, want the whole stream", body, err)
			}
		})
	}
}

// Once the second target goes on, the retry for the return must be back in the budget,
// and only that one.
func TestRetryOfReturnGivenBack(t *testing.T) {
	t.Parallel()
	refuse := respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", "")
	first := once(silent(6, 3, 4*time.Second, true), refuse)
	second := once(events("second", 4, 6, false), refuse)
	f := newFixtureWith(t, func(c *forwarder.Config) { c.MinRetries = 3 }, first, second) // 2 are used
	if _, body, err := f.post("/long/", nil); err != nil || body != stream(6) {
		t.Fatalf("got %q and %v, want the whole stream", body, err)
	}
	before := len(f.requests())
	for range 3 {
		_, _, _ = f.post("/again/", nil) // both targets refuse
	}
	if got, want := len(f.requests())-before, 3+1; got != want {
		t.Errorf("got %d requests at targets for 3 of callers, want %d", got, want)
	}
}

// If the target that an unanswered stream was moved to answers with an error, the
// silent target must go on before the caller gets the error.
func TestErrorOfMovedStream(t *testing.T) {
	for name, header := range map[string]bool{"before header": false, "before first event": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := once(silent(6, 0, 4*time.Second, header), events("first", 1, 6, false))
			f := newFixture(t, first, respond(http.StatusInternalServerError, signed, "sorry"))
			a, body, err := f.post("/long/", nil)
			if err != nil || a.StatusCode != http.StatusOK || body != stream(6) {
				t.Errorf("got status %d, %q and %v, want the whole stream", a.StatusCode, body, err)
			}
		})
	}
}

// A target that was silent during the retry of an error, or before it, must go on if the
// targets after it fail, before the caller gets the error.
func TestSilenceBesideError(t *testing.T) {
	for name, list := range map[string][]handler{
		"error, silence, loss":    {respond(500, signed, "sorry"), silent(6, 0, 4*time.Second, false), closeConnection},
		"error, silence, refusal": {respond(500, signed, "sorry"), silent(6, 0, 4*time.Second, true), respond(503, "X-Refused: 1\r\n", "")},
		"silence, error, loss":    {silent(6, 0, 4*time.Second, false), respond(500, signed, "sorry"), closeConnection},
		"silence, error, refusal": {silent(6, 0, 4*time.Second, true), respond(500, signed, "sorry"), respond(503, "X-Refused: 1\r\n", "")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			next := inTurn(append(list, events("last", 1, 6, false))...)
			f := newFixture(t, next, next, next)
			a, body, err := f.post("/long3/", nil)
			if err != nil || a.StatusCode != http.StatusOK || body != stream(6) {
				t.Errorf("got status %d, %q and %v, want the whole stream", a.StatusCode, body, err)
			}
			if got := len(f.requests()); got != 4 {
				t.Errorf("got %d requests at targets, want 4", got)
			}
		})
	}
}

// No more targets than the route allows may run a stream that was moved: the silent
// target counts though it dropped the request before its first event, and no other one may
// run the stream if the silent one breaks it off or refuses it.
func TestAttemptsOfMovedStream(t *testing.T) {
	dropped := func(_ int, w io.Writer, _ *http.Request) bool {
		_, _ = w.(net.Conn).Read(make([]byte, 1)) // returns when the request is canceled
		return false
	}
	refuse := respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", "")
	for _, test := range []struct {
		name   string
		first  handler
		others []handler
		want   string
	}{
		{"silent target has not begun", once(dropped, events("first", 1, 5, true)), []handler{closeConnection, ids(stream(6))}, stream(5)},
		{"return is refused", once(silent(6, 3, 4*time.Second, true), refuse), []handler{ids(event(4) + event(5) + "id: 9"), ids(event(6))}, stream(5)},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			next := inTurn(test.others...)
			f := newFixture(t, test.first, next, next)
			f.balancer.SetTargets(f.listings[:1])
			time.AfterFunc(500*time.Millisecond, func() { f.balancer.SetTargets(f.listings) })
			_, body, err := f.post("/long/", nil)
			if body != test.want || err == nil || len(f.requests()) != 3 {
				t.Errorf("got %q, %v and %d requests at targets, want %q, an error and 3", body, err, len(f.requests()), test.want)
			}
		})
	}
}
