package listener

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/limiter"
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
	// readBuffer is the size of the buffer of the system for bytes that haven't been
	// read. Linux takes the double of it. Without it, the buffer of a kept connection
	// grows to megabytes, which count toward the memory of the process. It is more than
	// the bodies of most requests.
	readBuffer = 128 << 10
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
	// MinIdle, if not nil, returns the least time for which an idle connection is kept
	// after a request, also if that exceeds the idle timeout of the server.
	MinIdle func() time.Duration
	// Logger is told if options of connections can't be set; nil for none.
	Logger *zap.Logger
	// SetOptions sets the options of a connection; nil selects those that detect
	// an unreachable peer.
	SetOptions func(*net.TCPConn) error
	// Limiter limits the bytes held for long heads of requests; nil for no limit. It
	// needs the hook ConnState.
	Limiter *limiter.Limiter
}

// Listener is a net.Listener for client connections.
type Listener struct {
	net.Listener
	writeTimeout time.Duration
	minIdle      func() time.Duration
	logger       *zap.Logger
	setOptions   func(*net.TCPConn) error
	limiter      *limiter.Limiter
	warned       atomic.Bool  // of options that can't be set
	accepting    atomic.Int32 // calls of Accept that haven't returned

	mu    sync.Mutex
	conns map[*conn]struct{} // open connections
}

// New returns a listener.
func New(cfg Config) *Listener {
	if cfg.Stall == 0 {
		cfg.Stall = defaultWriteTimeout
	}
	if cfg.MinIdle == nil {
		cfg.MinIdle = func() time.Duration { return 0 }
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.SetOptions == nil {
		cfg.SetOptions = setOptions
	}
	return &Listener{
		Listener: cfg.Listener, writeTimeout: cfg.Stall, minIdle: cfg.MinIdle, logger: cfg.Logger, setOptions: cfg.SetOptions, limiter: cfg.Limiter,
		conns: map[*conn]struct{}{},
	}
}

// Accept returns the next connection. Its writes time out when the client is
// unreachable or stops reading.
func (l *Listener) Accept() (net.Conn, error) {
	l.accepting.Add(1)
	defer l.accepting.Add(-1)
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		// The connection works without them, but an unreachable peer may hold its
		// request until other timeouts. One line is enough: a system that lacks an
		// option lacks it for all connections.
		if err := l.setOptions(t); err != nil && !l.warned.Swap(true) {
			l.logger.Warn("setting options of a connection failed", zap.Stringer("peer", t.RemoteAddr()), zap.Error(err))
		}
	}
	accepted := &conn{Conn: c, listener: l, writeTimeout: l.writeTimeout, idle: true, since: time.Now()}
	if l.limiter != nil {
		accepted.hold = l.limiter.Begin(headAccount)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[accepted] = struct{}{}
	return accepted, nil
}

// setOptions sets the options that detect an unreachable peer and bound what it sends in
// advance.
func setOptions(c *net.TCPConn) error {
	return errors.Join(c.SetKeepAliveConfig(keepAlive), setUserTimeout(c), c.SetReadBuffer(readBuffer))
}

// forget removes a connection that has been closed.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
