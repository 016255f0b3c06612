package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/recoverer"
)

const (
	// dialTimeout bounds a connection attempt. Targets are a few milliseconds
	// away.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of a connection if the target does
	// not announce one.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how long before the target's idle timeout a connection is
	// retired.
	idleMargin = 400 * time.Millisecond
	// ackTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	ackTimeout = 1500 * time.Millisecond
	// maxStaleResponses is the number of responses to other requests that are
	// discarded before the exchange fails.
	maxStaleResponses = 2
	// maxIdlePerTarget is the maximum number of idle connections per target.
	maxIdlePerTarget = 32
	// maxInlineBytes is the maximum size of a request that is written before
	// reading the response. It fits into the socket buffers.
	maxInlineBytes = 8 << 10
)

// Config configures an Exchanger.
type Config struct {
	// EchoHeader is the request header with the ID that a target repeats in its
	// response; "" if there is none.
	EchoHeader string
	// Dial replaces the default TCP dialer if not nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Now  func() time.Time
	// OnDial, if not nil, is called for each new connection.
	OnDial func()
	// Recoverer, if not nil, runs what requests do in goroutines of their own.
	Recoverer *recoverer.Recoverer
}

// Exchanger sends requests to targets and pools idle connections. It is safe
// for concurrent use.
type Exchanger struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
}

// Request is a request to a target. Its header is written unchanged, plus a
// Content-Length.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// MaxIdle limits the idle time of a reused connection; 0 means no limit.
	MaxIdle time.Duration
	// Hold, if not nil, is called before more bytes are held for a long head of the
	// response. An error ends the exchange.
	Hold func(n int64) error
}

// New returns an Exchanger without connections.
func New(cfg Config) *Exchanger {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Recoverer == nil {
		cfg.Recoverer = recoverer.New(recoverer.Config{})
	}
	if cfg.OnDial == nil {
		cfg.OnDial = func() {}
	}
	if cfg.Dial == nil {
		cfg.Dial = newDial(setAckTimeout)
	}
	return &Exchanger{cfg: cfg, idle: map[string][]*conn{}}
}

// newDial returns a TCP dialer that sets an option of each connection.
func newDial(setOption func(*net.TCPConn) error) func(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		if t, ok := c.(*net.TCPConn); ok {
			err = setOption(t)
		}
		if err != nil {
			_ = c.Close()
			return nil, err
		}
		return c, nil
	}
}

// ErrConnectTimeout is returned if a connection attempt times out. It wraps
// fault.Unavailable.
var ErrConnectTimeout = eris.Wrap(fault.Unavailable, "connection attempt timed out")

// ErrNotStarted is returned if a canceled request was dropped by the target
// before it sent any part of a response.
var ErrNotStarted = errors.New("request was canceled before the response started")

// Send writes a request and returns the response once its header has arrived.
// When ctx ends, the request is canceled, even while the body is being read.
// The error wraps fault.Unavailable if the target can't have received the
// request (ErrConnectTimeout if the connection attempt timed out),
// ErrNotStarted if the target dropped it, and fault.Uncertain if the target may
// have run it.
func (e *Exchanger) Send(ctx context.Context, q *Request) (*Response, error) {
	c, err := e.connect(ctx, q)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, e.cfg.Recoverer.Wrap("cancel request", c.cancel))
	isKept := false
	defer func() {
		if !isKept { // also after a panic
			stop()
			_ = c.Close()
		}
	}()
	a, err := c.exchange(q, e.cfg.EchoHeader, e.cfg.Recoverer)
	if err != nil {
		if c.isNotStarted(err) {
			return nil, eris.Wrapf(ErrNotStarted, "target at %s", q.Address)
		}
		return nil, eris.Wrapf(fault.Uncertain, "target at %s, connection used %d times before: %v", q.Address, c.uses, err)
	}
	isKept = true
	a.release = func(reuse bool) {
		if stop() && reuse && len(c.refused) < maxRefused {
			e.putIdle(q.Address, c)
		} else {
			_ = c.Close()
		}
	}
	return a, nil
}

// connect returns a usable idle connection, or a new one.
func (e *Exchanger) connect(ctx context.Context, q *Request) (*conn, error) {
	for {
		c := e.takeIdle(q)
		if c == nil {
			break
		}
		if e.cfg.Now().Before(c.expires) && c.isUsable() {
			c.uses++
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
	head := &headReader{Conn: raw}
	return &conn{Conn: raw, head: head, reader: bufio.NewReader(head)}, nil
}

// takeIdle removes and returns the most recently used idle connection that may be
// used for a request, or nil. A request without an ID gets none, since the response
// to it couldn't be told from an earlier one.
func (e *Exchanger) takeIdle(q *Request) *conn {
	id := q.id(e.cfg.EchoHeader)
	if id == "" && e.cfg.EchoHeader != "" {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[q.Address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if q.MaxIdle > 0 && e.cfg.Now().Sub(c.idleSince) > q.MaxIdle {
			return nil
		}
		if !c.refused[id] {
			e.idle[q.Address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// HasIdle reports whether there is an unexpired idle connection to an address.
func (e *Exchanger) HasIdle(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.idle[address]
	return len(list) > 0 && e.cfg.Now().Before(list[len(list)-1].expires)
}

// putIdle returns a connection to the idle pool.
func (e *Exchanger) putIdle(address string, c *conn) {
	wait := defaultIdleTimeout
	if c.timeout > 0 {
		wait = c.timeout - idleMargin
	}
	c.idleSince = e.cfg.Now()
	c.expires = c.idleSince.Add(wait)
	e.mu.Lock()
	list := e.idle[address]
	var oldest *conn
	if len(list) >= maxIdlePerTarget {
		oldest, list = list[0], list[1:]
	}
	e.idle[address] = append(list, c)
	e.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close()
	}
}

// PruneIdle closes idle connections that have expired, and all idle connections
// to addresses for which wanted returns false. It calls wanted without holding
// its lock, since wanted may wait for a caller of HasIdle.
func (e *Exchanger) PruneIdle(wanted func(address string) bool) {
	unwanted := map[string]bool{}
	for _, address := range e.idleAddresses() {
		unwanted[address] = !wanted(address)
	}
	now := e.cfg.Now()
	var old []*conn
	e.mu.Lock()
	for address, list := range e.idle {
		kept := list[:0]
		for _, c := range list {
			if !unwanted[address] && now.Before(c.expires) {
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

// idleAddresses returns the addresses with idle connections.
func (e *Exchanger) idleAddresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.idle))
}

// CloseIdle closes all idle connections to an address.
func (e *Exchanger) CloseIdle(address string) {
	e.mu.Lock()
	list := e.idle[address]
	delete(e.idle, address)
	e.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// encode serializes the head of a request.
func encode(q *Request) *bytes.Buffer {
	b := &bytes.Buffer{}
	b.Grow(512)
	b.WriteString(q.Method + " " + q.URI + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	_ = q.Header.Write(b) // a bytes.Buffer never fails
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b
}

// keepAliveTimeout returns the timeout in the Keep-Alive header, or 0.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n > 0 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
