package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/listener"
)

// A caller that has its answer may send the next request on the connection before
// the server has found it idle. If a planned stop begins at that moment, the request
// must be served: the answer before didn't say that the connection closes.
func TestStopBetweenRequests(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := listener.New(listener.Config{Listener: raw})
	e := New(Config{Name: "e1", Zone: "z", Grace: 3 * time.Second, Seeds: func() []string { return nil }, Logger: zap.NewNop()})
	idle, proceed := make(chan struct{}), make(chan struct{})
	first := true
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler:           e.forwarder, // answers 503, as it has no ruleset
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle && first {
				first = false
				close(idle)
				<-proceed
			}
			front.ConnState(c, s)
		},
	}
	go e.serve(server, front)
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	send := func() {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	// read reads an answer and reports whether it closes the connection.
	read := func() bool {
		t.Helper()
		a, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("got %v, want an answer", err)
		}
		_, _ = io.Copy(io.Discard, a.Body) // the body is empty
		_ = a.Body.Close()
		return a.Close
	}
	send()
	if read() {
		t.Fatal("the first answer closes the connection, want it kept")
	}
	<-idle
	stopped := make(chan struct{})
	go func() {
		e.stop(server, front)
		close(stopped)
	}()
	for !e.stopping.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	send()
	close(proceed)
	if !read() {
		t.Error("the answer during the stop keeps the connection, want it closed")
	}
	<-stopped
}
