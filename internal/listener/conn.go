package listener

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/papayapond/papayapond/internal/limiter"
)

// conn sets a deadline for each write, and knows whether it carries a request.
// Only one goroutine may write at a time.
type conn struct {
	net.Conn
	listener     *Listener
	writeTimeout time.Duration
	deadline     time.Time

	mu       sync.Mutex
	idle     bool      // no request has been read in full, as the server has reported
	since    time.Time // start of the idle state, or the first byte received in it
	waiting  bool      // the server has read all that was received before
	received bool      // bytes of the next request have been read
	ahead    bool      // a byte has been read while a request is served
	closing  bool      // Drain has interrupted the read; the connection closes if it got nothing
	closed   bool
	kept     bool   // a request has been served before
	watched  bool   // Handler notes the requests of this connection
	handled  bool   // a handler has got the request
	bytes    int    // read since the connection was last idle
	answer   string // start of the answer if no handler has got the request

	hold *limiter.Hold // bytes of the head; nil for no limit
	head int           // bytes read of the head
}

// setIdle notes that the server waits for a request, or that it has read the
// header of one.
func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.since, c.waiting, c.received, c.ahead = idle, time.Now(), false, idle && c.ahead, false
	c.closing = false
	if idle {
		c.kept = c.bytes > 0
		c.handled, c.answer, c.bytes = false, "", 0
		c.endHead()
	}
}

// Read drops bytes that arrive while the connection is being closed, so that no
// request is served that can't be answered.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.waiting = true
	fits := c.holdHead(len(b))
	c.mu.Unlock()
	if !fits {
		return 0, c.refuseHead(b)
	}
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendIdle() {
		n, err = c.Conn.Read(b)
	}
	fits, closed := c.record(b[:n], len(b) == 1)
	switch {
	case closed:
		return 0, net.ErrClosed
	case !fits:
		return 0, c.refuseHead(b)
	}
	return n, err
}

// record records bytes that were read, and reports whether there is memory for them and
// whether the connection has been closed meanwhile.
func (c *conn) record(b []byte, single bool) (fits, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b) > 0 && c.closing && !c.closed {
		c.closing = false
		_ = c.SetReadDeadline(time.Now().Add(headerTimeout)) // a later read fails otherwise
	}
	if c.closing && !c.closed {
		_ = c.close() // nothing is lost if the peer has closed it first
	}
	if c.closed {
		return true, true
	}
	c.bytes += len(b)
	fits = c.countHead(b)
	if len(b) > 0 && c.idle && !c.received {
		c.received, c.since = true, time.Now()
	}
	// While a request is served, net/http reads a single byte to notice that the
	// caller has left. It belongs to the next request.
	c.ahead = c.ahead || len(b) > 0 && single && !c.idle
	return fits, false
}

// Close closes the connection. The rest of an answer can still be read from one that
// carries a request.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle || c.closed || !c.beginLinger() {
		return c.close()
	}
	c.forget()
	return nil
}

// close closes the connection. The caller holds mu.
func (c *conn) close() error {
	if !c.closed {
		c.forget()
	}
	return c.Conn.Close()
}

// forget notes that the connection is closed. The caller holds mu.
func (c *conn) forget() {
	c.closed = true
	c.logUnhandled()
	c.endHead()
	c.listener.forget(c)
}

// Write writes in chunks, so that a long response to a slow client continues as
// long as the client makes progress.
func (c *conn) Write(b []byte) (int, error) {
	c.recordAnswer(b)
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
