package forwarder_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// raw returns a handler that sends a response as given, with the ID of the request
// in place of ID, and closes the connection.
func raw(text string) handler {
	return func(_ int, w io.Writer, r *http.Request) bool {
		_, _ = io.WriteString(w, strings.Replace(text, "ID", headers.Attempt+": "+r.Header.Get(headers.Attempt), 1))
		return false
	}
}

const (
	head       = "HTTP/1.1 200 OK\r\nID\r\nX-Sign: second\r\n"
	streamHead = head + "Content-Type: text/event-stream\r\n"
)

// A response without a length ends with its connection, as it does when its target
// ends. If it has no event, it must not pass for the rest of a stream that another
// target began.
func TestEndWithoutEvent(t *testing.T) {
	for _, text := range []string{"", ": ready\n\n"} {
		f := newFixture(t, events("first", 1, 3, true), raw(streamHead+"\r\n"+text))
		if _, body, err := f.post("/resume/", nil); body != stream(3)+text || err == nil {
			t.Errorf("after %q: got %q and %v, want events 1 to 3 and an error", text, body, err)
		}
		f = newFixture(t, raw(streamHead+"\r\n"+text))
		if a, body, err := f.post("/stream/", nil); err == nil && a.StatusCode == http.StatusOK {
			t.Errorf("first target, after %q: got status 200 and %q, want no complete stream", text, body)
		}
	}
}
