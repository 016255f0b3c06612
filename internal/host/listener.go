package host

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// listener can make all open connections permanently unresponsive, while new
// ones work. An unresponsive connection stays open, discards what is written to
// it, and delivers nothing.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]bool
}

type conn struct {
	net.Conn
	l            *listener
	unresponsive atomic.Bool
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: map[*conn]bool{}}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: c, l: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[wrapped] = true
	return wrapped, nil
}

// withSilenceHandler adds POST /v1/silence, which makes all open connections
// but its own unresponsive.
func (l *listener) withSilenceHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/silence" || r.Method != http.MethodPost {
			next.ServeHTTP(w, r)
			return
		}
		l.silence(r.RemoteAddr)
		w.WriteHeader(http.StatusNoContent)
	})
}

func (l *listener) silence(except string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.RemoteAddr().String() != except {
			c.unresponsive.Store(true)
			delete(l.conns, c)
		}
	}
}

// Read discards incoming data once the connection is unresponsive.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.unresponsive.Load() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write discards the data once the connection is unresponsive.
func (c *conn) Write(b []byte) (int, error) {
	if c.unresponsive.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.l.mu.Lock()
	delete(c.l.conns, c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger implements the method of net.TCPConn.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}
