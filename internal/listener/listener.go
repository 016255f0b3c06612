package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	// waitInterval is the interval at which Wait checks the connections.
	waitInterval = 10 * time.Millisecond
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
	spared       atomic.Int64 // open connections that an idle close has spared
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
	return &conn{Conn: c, listener: l, writeTimeout: l.writeTimeout}, nil
}

// ConnState is a hook for http.Server. With it, a server that closes idle
// connections spares one that has begun to receive a request.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*conn); ok {
		c.setIdle(state == http.StateIdle)
	}
}

// Wait waits until the connections that the server was kept from closing have
// been closed, or until ctx ends. http.Server.Shutdown doesn't wait for them.
func (l *Listener) Wait(ctx context.Context) error {
	tick := time.NewTicker(waitInterval)
	defer tick.Stop()
	for l.spared.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

// conn sets a deadline for each write. Only one goroutine may write at a time.
type conn struct {
	net.Conn
	listener     *Listener
	writeTimeout time.Duration
	deadline     time.Time

	mu       sync.Mutex
	idle     bool // between two requests, as the server has reported
	received bool // bytes have been read since
	readErr  bool // a read has failed since
	spared   bool // Close was ignored
	closed   bool
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.received, c.readErr = idle, false, false
}

// Read drops bytes that arrive while the connection is being closed, so that no
// request is served that can't be answered.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.received = c.received || n > 0
	c.readErr = c.readErr || err != nil
	return n, err
}

// Close does nothing on an idle connection that has begun to receive a request.
// A server that shuts down closes idle connections, and takes a connection for
// idle until it has read the whole header. It closes the connection after the
// response, because keep-alives are disabled then.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.received && !c.readErr {
		if !c.spared {
			c.spared = true
			c.listener.spared.Add(1)
		}
		return nil
	}
	if c.spared && !c.closed {
		c.listener.spared.Add(-1)
	}
	c.closed = true
	return c.Conn.Close()
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
