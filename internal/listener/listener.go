package listener

import (
	"net"
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
}

// New returns a listener.
func New(cfg Config) *Listener {
	if cfg.Stall == 0 {
		cfg.Stall = defaultWriteTimeout
	}
	return &Listener{Listener: cfg.Listener, writeTimeout: cfg.Stall}
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
	return &conn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

// conn sets a deadline for each write. Only one goroutine may write at a time.
type conn struct {
	net.Conn
	writeTimeout time.Duration
	deadline     time.Time
}

// Write writes in chunks, so that a long response to a slow client continues as
// long as the client makes progress.
func (c *conn) Write(b []byte) (int, error) {
	written := 0
	for {
		n, err := c.write(b[written:min(written+writeChunkSize, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// write extends the deadline only once a quarter of the timeout has passed,
// since every event of a stream is a separate write.
func (c *conn) write(b []byte) (int, error) {
	if now := time.Now(); c.deadline.Sub(now) < c.writeTimeout*3/4 {
		c.deadline = now.Add(c.writeTimeout)
		if err := c.SetWriteDeadline(c.deadline); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
