package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// refusal returns a refusal with the given ID, or with none.
func refusal(id string) string {
	if id != "" {
		id = headers.Attempt + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 X\r\n" + id + "X-Refused: 1\r\nContent-Length: 0\r\n\r\n"
}

// A target may write an earlier refusal once more on a kept connection. A request
// that it runs must neither be reported as not run nor be sent to another target.
func TestRefusalOnceMore(t *testing.T) {
	for _, test := range []struct {
		name   string
		again  string // before the response to the second request
		late   bool   // the refusal is all that comes
		status int
	}{
		{"with its ID, before the response", refusal("first"), false, http.StatusOK},
		{"without an ID, before the response", refusal(""), false, http.StatusBadGateway},
		{"with its ID, then the connection ends", refusal("first"), true, http.StatusBadGateway},
		{"without an ID, then the connection ends", refusal(""), true, http.StatusBadGateway},
		{"twice with its ID", refusal("first") + refusal("first"), false, http.StatusOK},
		{"ten times with its ID", strings.Repeat(refusal("first"), 10), false, http.StatusBadGateway},
	} {
		for _, path := range []string{"/once/", "/stream/"} {
			t.Run(test.name+path, func(t *testing.T) {
				ran := 0
				f := newFixture(t, func(n int, w io.Writer, r *http.Request) bool {
					if n == 1 {
						_, _ = io.WriteString(w, refusal("first"))
						return true
					}
					ran++
					_, _ = io.WriteString(w, test.again)
					return !test.late && respond(http.StatusOK, signed, "answer")(n, w, r)
				})
				for _, want := range []struct {
					id     string
					status int
				}{{"first", http.StatusServiceUnavailable}, {"second", test.status}} {
					a, body, err := f.post(path, func(r *http.Request) { r.Header.Set(headers.Attempt, want.id) })
					if err != nil || a.StatusCode != want.status {
						t.Errorf("%s: got status %d, body %q and %v, want %d", want.id, a.StatusCode, body, err, want.status)
					}
				}
				if ran != 1 || len(f.requests()) != 2 {
					t.Errorf("got %d runs, %d requests, want 1 and 2", ran, len(f.requests()))
				}
			})
		}
	}
}

// A refusal without an ID may be that of another request, on a new connection too.
// Only a request that may run twice goes to another target.
func TestUnidentifiedRefusal(t *testing.T) {
	for path, want := range map[string]struct{ status, sent int }{
		"/once/": {http.StatusBadGateway, 1}, "/stream/": {http.StatusBadGateway, 1}, "/again/": {http.StatusOK, 2}, "/resume/": {http.StatusOK, 2},
	} {
		f := newFixture(t, func(_ int, w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, refusal(""))
			return true
		}, respond(http.StatusOK, signed, "answer"))
		a, _, err := f.post(path, nil)
		if err != nil || a.StatusCode != want.status || len(f.requests()) != want.sent {
			t.Errorf("%s: got status %d, %v and %d sent, want %d and %d", path, a.StatusCode, err, len(f.requests()), want.status, want.sent)
		}
	}
}

// Callers take some statuses for the promise that a request did not run. A target
// that uses one without this statement may have run the request.
func TestStatusWithoutStatement(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, extra := range []string{"", signed} {
			f := newFixture(t, respond(status, extra, "busy"), respond(http.StatusOK, signed, "answer"))
			a, body, err := f.post("/once/", nil)
			if err != nil || a.StatusCode != http.StatusBadGateway || body != "" || a.Header.Get(headers.Signature) != "" || len(f.requests()) != 1 {
				t.Errorf("%s: got status %d, body %q, header %v, %v and %d sent, want 502 without body and signature, and 1 sent",
					fmt.Sprint(status, extra), a.StatusCode, body, a.Header, err, len(f.requests()))
			}
		}
	}
}

// A target that hasn't answered by the deadline may have run the request, whether it
// has begun its response or is silent while it runs: callers must not be told that it
// didn't run.
func TestHeaderBegunAtDeadline(t *testing.T) {
	const want = http.StatusGatewayTimeout
	for _, begun := range []string{"", "HTTP/1.1 200 O"} {
		f := newFixture(t, func(_ int, w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, begun)
			_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the request is canceled
			return false
		})
		a, _, err := f.post("/stream/", func(r *http.Request) { r.Header.Set(headers.Deadline, "100") })
		if err != nil || a.StatusCode != want {
			t.Errorf("after %q: got status %d and %v, want %d", begun, a.StatusCode, err, want)
		}
	}
}

// Two lifetimes may be listed at one address. A request that one of them refused
// is sent to the other with the same ID, so that a second copy of the refusal on the
// same connection could not be told from the response.
func TestRefusalOfEarlierLifetime(t *testing.T) {
	ran := 0
	var first io.Writer
	f := newFixture(t, func(n int, w io.Writer, r *http.Request) bool {
		if n == 1 {
			first = w
			_, _ = io.WriteString(w, refusal("id1"))
			return true
		}
		ran++
		if w == first {
			_, _ = io.WriteString(w, refusal("id1"))
		}
		return respond(http.StatusOK, signed, "answer")(n, w, r)
	}, closeConnection)
	f.listings[1].Address = f.listings[0].Address
	f.balancer.SetTargets(f.listings)
	a, body, err := f.post("/once/", nil)
	if a.StatusCode != http.StatusOK || body != "answer" || err != nil || ran != 1 {
		t.Errorf("got status %d, %q, %v and %d runs, want the answer of one run", a.StatusCode, body, err, ran)
	}
}
