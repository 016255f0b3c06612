package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/forwarder"
)

// readCounter counts the bytes that are read from a connection. Bytes in the buffers of
// the kernel, which may be more than the bounds, don't count.
type readCounter struct {
	net.Conn
	read *atomic.Int64
}

func (c readCounter) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// countReads makes the forwarder count the bytes that it reads from targets.
func countReads(read *atomic.Int64) func(*forwarder.Config) {
	return func(c *forwarder.Config) {
		c.Exchanger = exchanger.New(exchanger.Config{
			EchoHeader: headers.Attempt,
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return readCounter{conn, read}, err
			},
		})
	}
}

// endless returns a handler that sends a text and then another one without end.
func endless(start, repeated string) handler {
	return func(_ int, w io.Writer, r *http.Request) bool {
		raw(start)(1, w, r)
		block := []byte(strings.Repeat(repeated, 64<<10/len(repeated)))
		for sent := 0; sent < 256<<20; sent += len(block) {
			if _, err := w.Write(block); err != nil {
				return false
			}
		}
		return false
	}
}

// A faulty target may send a body without end. It must neither fill the memory of
// the instance nor hold a request that another target can answer.
func TestEndlessBody(t *testing.T) {
	const (
		otherBytes = 64 << 10 // of the head, the other answer and the last buffer
		bodyBytes  = 16 << 20
		eventBytes = 1 << 20
		most       = 1500 * time.Millisecond // less than the timeout of the route
	)
	for _, test := range []struct {
		name, path, start, repeated string
		bytes                       int64
	}{
		{"error", "/again/", "HTTP/1.1 500 X\r\nID\r\nX-Sign: s\r\n\r\n", "x", bodyBytes},
		{"response", "/again/", "HTTP/1.1 200 X\r\nID\r\nX-Sign: s\r\n\r\n", "x", bodyBytes},
		{"refusal", "/once/", "HTTP/1.1 503 X\r\nID\r\nX-Refused: 1\r\n\r\n", "x", eventBytes},
		{"refusal in chunks", "/once/", "HTTP/1.1 503 X\r\nID\r\nX-Refused: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", eventBytes},
		{"event", "/resume/", streamHead + "\r\n", "x", eventBytes},
		{"lines of an event", "/resume/", streamHead + "\r\n", "data: x\n", eventBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			var read atomic.Int64
			f := newFixtureWith(t, countReads(&read), endless(test.start, test.repeated), respond(http.StatusOK, signed, "answer"))
			begun := time.Now()
			a, body, err := f.post(test.path, nil)
			if took := time.Since(begun); a.StatusCode != http.StatusOK || body != "answer" || err != nil || took > most {
				t.Errorf("got status %d, %d bytes and %v after %v, want the answer of the other target within %v", a.StatusCode, len(body), err, took, most)
			}
			if got, want := read.Load(), test.bytes+otherBytes; got > want {
				t.Errorf("got %d bytes read, want at most %d", got, want)
			}
		})
	}
}

// A refusal whose body doesn't come must not hold the request.
func TestRefusalWithoutBody(t *testing.T) {
	const most = time.Second // less than the timeout of the route
	for _, framing := range []string{"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"} {
		f := newFixture(t, func(_ int, w io.Writer, r *http.Request) bool {
			raw("HTTP/1.1 503 X\r\nID\r\nX-Refused: 1\r\n"+framing+"\r\n")(1, w, r)
			time.Sleep(3 * most)
			return false
		}, respond(http.StatusOK, signed, "answer"))
		begun := time.Now()
		a, body, err := f.post("/once/", nil)
		if took := time.Since(begun); a.StatusCode != http.StatusOK || body != "answer" || err != nil || took > most {
			t.Errorf("%q: got status %d, %q and %v after %v, want the answer of the other target within %v", framing, a.StatusCode, body, err, took, most)
		}
	}
}
