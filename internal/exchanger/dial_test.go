package exchanger

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
)

// A connection whose socket option can't be set isn't used. Left open, it would hold
// a file here and a place at the target until the process ends.
func TestDialClosesUnusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
	}()
	failed := errors.New("option not supported")
	e := New(Config{Dial: newDial(func(*net.TCPConn) error { return failed })})
	if _, err := e.Send(t.Context(), &Request{Address: l.Addr().String(), Method: http.MethodGet, URI: "/"}); !errors.Is(err, fault.Unavailable) {
		t.Errorf("got %v, want %v", err, fault.Unavailable)
	}
	c := <-accepted
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection at the target: got %v, want %v", err, io.EOF)
	}
}
