package listener

import (
	"net"
	"sync"
	"time"
)

const (
	// defaultWriteTimeout is the time within which a client must read one chunk
	// of its response. Slow readers still make progress within it.
	defaultWriteTimeout = 30 * time.Second
	// writeChunkSize is the number of bytes that the client must read within that
	// time.
	writeChunkSize = 16 << 10
	// userTimeout is the time after which unacknowledged data closes a connection.
	// Linux would retransmit for 15 minutes.
	userTimeout = 20 * time.Second
)

// keepAlive detects an idle connection whose peer is gone within 25 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// Config configures a Listener.
type Config struct {
	// Listener accepts the TCP connections.
	Listener net.Listener
	// Stall is the time within which a write must make progress; 0 selects the
	// default.
	Stall time.Duration
}

// Listener is a net.Listener for client connections.
type Listener struct {
	net.Listener
	writeTimeout time.Duration

	mu    sync.Mutex
	conns map[*conn]struct{} // open connections
}

// New returns a listener.
func New(cfg Config) *Listener {
	if cfg.Stall == 0 {
		cfg.Stall = defaultWriteTimeout
	}
	return &Listener{Listener: cfg.Listener, writeTimeout: cfg.Stall, conns: map[*conn]struct{}{}}
}

// Accept returns the next connection. Its writes time out when the client is
// unreachable or stops reading.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// If the options can't be set, the connection has been reset, and the
	// first read returns the error.
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(keepAlive)
		_ = setUserTimeout(t)
	}
	accepted := &conn{Conn: c, listener: l, writeTimeout: l.writeTimeout, idle: true, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[accepted] = struct{}{}
	return accepted, nil
}

// forget removes a connection that has been closed.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
