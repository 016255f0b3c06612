package listener

import (
	"net"
	"time"
)

const (
	// defaultStall is the time in which a caller must take a part of its answer. A
	// caller that reads slowly makes progress within it.
	defaultStall = 30 * time.Second
	// part is the number of bytes that the caller must take within that time.
	part = 16 << 10
	// silence is the time after which unacknowledged data ends a connection.
	// Linux would go on for 15 minutes.
	silence = 20 * time.Second
)

// keepAlive finds an idle connection whose other end is gone within 25 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 3}

// Config configures a Listener.
type Config struct {
	// Listener accepts the TCP connections.
	Listener net.Listener
	// Stall is the time in which a write must make progress; 0 for the
	// default.
	Stall time.Duration
}

// Listener is a net.Listener for connections of callers.
type Listener struct {
	net.Listener
	stall time.Duration
}

// New returns a listener.
func New(cfg Config) *Listener {
	if cfg.Stall == 0 {
		cfg.Stall = defaultStall
	}
	return &Listener{Listener: cfg.Listener, stall: cfg.Stall}
}

// Accept returns the next connection. Its writes fail with a timeout when the
// caller is silent or takes nothing.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// A connection whose options can't be set has been reset; its first read
	// tells.
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(keepAlive)
		_ = limitSilence(t)
	}
	return &conn{Conn: c, stall: l.stall}, nil
}

// conn is a connection with a deadline for each write. One goroutine writes
// at a time.
type conn struct {
	net.Conn
	stall    time.Duration
	deadline time.Time
}

// Write writes in parts, so that a long answer to a slow caller goes on as long
// as there is progress.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.write(b[written:min(written+part, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// write sets the deadline anew only when a quarter of it has passed, since each
// event of a stream is a write.
func (c *conn) write(b []byte) (int, error) {
	if now := time.Now(); c.deadline.Sub(now) < c.stall*3/4 {
		c.deadline = now.Add(c.stall)
		if err := c.SetWriteDeadline(c.deadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
