package listener

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const shortRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// hookedConn calls onRead after each read of the client's bytes, before the
// server gets them.
type hookedConn struct {
	net.Conn
	onRead func(n int)
}

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.onRead != nil {
		c.onRead(n)
	}
	return n, err
}

// hookedListener accepts hookedConns.
type hookedListener struct {
	net.Listener
	onRead func(n int)
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &hookedConn{Conn: c, onRead: l.onRead}, err
}

// A server that stops closes its idle connections. A request that has just begun
// to arrive on one of them must either be answered or not be served at all: if it
// were served on a closed connection, its target would work for nobody, and the
// caller could not know whether it ran.
func TestCloseMeetsRequest(t *testing.T) {
	for _, test := range []struct {
		name  string
		parts []string // of the second request
		reads int32    // client reads after which idle connections are closed
		want  bool     // whether the second request is answered
	}{
		{"before the server gets the bytes", []string{shortRequest}, 2, false},
		{"within the header", []string{shortRequest[:10], shortRequest[10:]}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var served, reads atomic.Int32
			server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
			l := New(Config{Listener: &hookedListener{tcp, func(int) {
				if reads.Add(1) == test.reads {
					server.SetKeepAlivesEnabled(false)
				}
			}}})
			server.ConnState = l.ConnState
			go func() {
				if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					t.Error(err)
				}
			}()
			defer server.Close()
			caller, err := net.Dial("tcp", tcp.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			answers := bufio.NewReader(caller)
			exchange := func(parts []string) error {
				for i, part := range parts {
					if i > 0 {
						time.Sleep(50 * time.Millisecond)
						server.SetKeepAlivesEnabled(false)
					}
					if _, err := caller.Write([]byte(part)); err != nil {
						return err
					}
				}
				_ = caller.SetReadDeadline(time.Now().Add(2 * time.Second))
				response, err := http.ReadResponse(answers, nil)
				if err != nil {
					return err
				}
				return response.Body.Close()
			}
			if err := exchange([]string{shortRequest}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // the connection becomes idle
			err = exchange(test.parts)
			if got := err == nil; got != test.want {
				t.Errorf("answered: got %t (%v), want %t", got, err, test.want)
			}
			time.Sleep(50 * time.Millisecond)
			if got, want := served.Load(), int32(1+strings.Count(strings.Join(test.parts, ""), "\r\n\r\n")); test.want && got != want || !test.want && got != 1 {
				t.Errorf("served requests: got %d, want %d if answered and 1 if not", got, want)
			}
			if err := l.Wait(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
}
