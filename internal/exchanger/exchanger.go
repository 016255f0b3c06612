package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// dialTimeout bounds a connection attempt. Targets are a few ms away.
	dialTimeout = 300 * time.Millisecond
	// defaultIdle is the time after which an idle connection isn't used again
	// if the target names none.
	defaultIdle = 10 * time.Second
	// idleMargin is the time before the idle timeout of the target from which
	// on a connection isn't used again.
	idleMargin = 400 * time.Millisecond
	// unacknowledged ends a connection that has lost its way.
	unacknowledged = 1500 * time.Millisecond
	// maxStray is the number of answers to other requests that are dropped
	// before an exchange fails.
	maxStray = 2
	// keptPerTarget is the number of idle connections that are kept to one
	// target.
	keptPerTarget = 32
	// inlineBody is the size up to which a body is written before the answer is
	// read. It fits into the buffers of a connection.
	inlineBody = 8 << 10
)

// Config configures an Exchanger.
type Config struct {
	// EchoHeader is the header that a target repeats in its answer; "" if there
	// is none.
	EchoHeader string
	// Dial replaces the TCP dialer if it isn't nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Now  func() time.Time
	// OnDial is called with each new connection; nil for none.
	OnDial func()
}

// Exchanger keeps idle connections to targets. It is safe for concurrent use.
type Exchanger struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
}

// Request is a request to a target. Its header is written as it is, with the
// length of the body.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// MaxIdle is the longest time for which the connection has been idle; 0 for
	// any.
	MaxIdle time.Duration
}

// New returns an exchanger without connections.
func New(cfg Config) *Exchanger {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnDial == nil {
		cfg.OnDial = func() {}
	}
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, "tcp", address)
			if t, ok := c.(*net.TCPConn); ok && err == nil {
				err = limitSilence(t)
			}
			return c, err
		}
	}
	return &Exchanger{cfg: cfg, idle: map[string][]*conn{}}
}

// ErrConnectTimeout is the error of a connection attempt that nothing has answered. It
// wraps fault.Unavailable.
var ErrConnectTimeout = eris.Wrap(fault.Unavailable, "no connection in time")

// ErrNotStarted is the error of a request that was withdrawn, and that the target
// dropped before it had made a part of an answer.
var ErrNotStarted = errors.New("request was withdrawn before its answer began")

// Send writes a request and returns the answer once its header has arrived.
// When ctx ends, the request is withdrawn, also while the body is being read.
// The error wraps fault.Unavailable if the target can't have seen the request
// (ErrSilent if the attempt to connect timed out),
// ErrUnbegun if it dropped it, and fault.Uncertain if it may have run it.
func (e *Exchanger) Send(ctx context.Context, q *Request) (*Response, error) {
	c, err := e.connect(ctx, q)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.withdraw)
	a, err := c.exchange(q, e.cfg.EchoHeader)
	if err != nil {
		stop()
		_ = c.Close()
		if c.isUnbegun(err) {
			return nil, eris.Wrapf(ErrNotStarted, "target at %s", q.Address)
		}
		return nil, eris.Wrapf(fault.Uncertain, "target at %s, connection used %d times before: %v", q.Address, c.used, err)
	}
	a.conn = c
	a.release = func(reuse bool) {
		if stop() && reuse {
			e.keep(q.Address, c)
		} else {
			_ = c.Close()
		}
	}
	return a, nil
}

// connect returns an idle connection that still works, or a new one.
func (e *Exchanger) connect(ctx context.Context, q *Request) (*conn, error) {
	for {
		c := e.take(q.Address, q.MaxIdle)
		if c == nil {
			break
		}
		if e.cfg.Now().Before(c.expires) && c.isQuiet() {
			c.used++
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := e.cfg.Dial(ctx, q.Address)
	if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
		return nil, eris.Wrapf(ErrConnectTimeout, "target at %s: %v", q.Address, err)
	}
	if err != nil {
		return nil, eris.Wrapf(fault.Unavailable, "target at %s: %v", q.Address, err)
	}
	e.cfg.OnDial()
	return &conn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// take returns the connection that was used last, unless it has been idle for
// longer than maxIdle.
func (e *Exchanger) take(address string, maxIdle time.Duration) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if maxIdle > 0 && e.cfg.Now().Sub(c.since) > maxIdle {
		return nil
	}
	e.idle[address] = list[:len(list)-1]
	return c
}

// HasIdle reports whether an idle connection to an address is kept.
func (e *Exchanger) HasIdle(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[address]
	return len(list) > 0 && e.cfg.Now().Before(list[len(list)-1].expires)
}

// keep makes a connection available again.
func (e *Exchanger) keep(address string, c *conn) {
	wait := defaultIdle
	if c.timeout > 0 {
		wait = c.timeout - idleMargin
	}
	c.since = e.cfg.Now()
	c.expires = c.since.Add(wait)
	e.mu.Lock()
	list := e.idle[address]
	var oldest *conn
	if len(list) >= keptPerTarget {
		oldest, list = list[0], list[1:]
	}
	e.idle[address] = append(list, c)
	e.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

// PruneIdle closes the idle connections that have expired, and all to addresses for
// which wanted is false.
func (e *Exchanger) PruneIdle(wanted func(address string) bool) {
	now := e.cfg.Now()
	var old []*conn
	e.mu.Lock()
	for address, list := range e.idle {
		kept := list[:0]
		for _, c := range list {
			if wanted(address) && now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		clear(list[len(kept):])
		if e.idle[address] = kept; len(kept) == 0 {
			delete(e.idle, address)
		}
	}
	e.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (e *Exchanger) CloseIdle(address string) {
	e.mu.Lock()
	list := e.idle[address]
	delete(e.idle, address)
	e.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// encode returns the bytes of a request.
func encode(q *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(q.Body))
	b.WriteString(q.Method + " " + q.URI + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	_ = q.Header.Write(&b) // a bytes.Buffer doesn't fail
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}

// keepAlive returns the idle timeout that a target names in whole seconds, or 0.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
