package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A caller that leaves is noticed by the end of what it sends. If it still reads, it
// must not get an answer that looks complete: net/http would add an empty success
// that no target gave, or the end of a stream.
func TestNoAnswerAfterCallerLeft(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Sign: s\r\nX-Id: i\r\n\r\nid: 1\ndata: x\n\n"
	for _, test := range []struct {
		name, path, begun string
	}{
		{"before the answer", "/once/", ""},
		{"within a stream", "/stream/", begun},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, func(_ int, w io.Writer, _ *http.Request) bool {
				_, _ = io.WriteString(w, test.begun)
				_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the forwarder cancels
				return false
			})
			c, err := net.Dial("tcp", f.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, "GET "+test.path+" HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: i\r\n\r\n")
			time.Sleep(100 * time.Millisecond)
			if err := c.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			got, err := io.ReadAll(c)
			if err != nil {
				t.Fatal(err)
			}
			if text := string(got); strings.HasSuffix(text, "\r\n0\r\n\r\n") || test.begun == "" && text != "" || !strings.Contains(text, "data: x") && test.begun != "" {
				t.Errorf("got %q, want what the target had sent and no end", text)
			}
		})
	}
}
