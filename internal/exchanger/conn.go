package exchanger

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/recoverer"
)

const (
	// maxInformational is the maximum number of 1xx responses before the final
	// one.
	maxInformational = 4
	// maxStaleBytes is the maximum size of a response to another request that is
	// discarded.
	maxStaleBytes = 1 << 20
)

// conn is a connection to a target.
type conn struct {
	net.Conn
	head      *headReader
	reader    *bufio.Reader
	uses      int           // previous requests on this connection
	timeout   time.Duration // idle timeout announced by the target, or 0
	idleSince time.Time     // time it became idle
	expires   time.Time

	canceled atomic.Bool

	refused map[string]bool // IDs of requests that the target has refused
}

// cancelTimeout is how long a target has to end the response to a canceled
// request.
const cancelTimeout = 250 * time.Millisecond

// cancel tells the target that the request is canceled by closing the write
// side. What the target sends before it closes the connection shows whether it
// had started.
func (c *conn) cancel() {
	c.canceled.Store(true)
	t, ok := c.Conn.(*net.TCPConn)
	if !ok || t.CloseWrite() != nil || t.SetReadDeadline(time.Now().Add(cancelTimeout)) != nil {
		_ = c.Close()
	}
}

// isNotStarted reports whether a read error means that the target closed the
// connection cleanly after the request was canceled, without any byte of a
// response.
func (c *conn) isNotStarted(err error) bool {
	return c.canceled.Load() && !c.head.begun && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
}

// openReader reads a body of unknown length. Once the request has been canceled, its end
// doesn't show that it is complete: the target may have stopped.
type openReader struct {
	io.Reader
	conn *conn
}

// Read implements io.Reader.
func (r *openReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if errors.Is(err, io.EOF) && r.conn.canceled.Load() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Response is the response to one request. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body returns io.EOF only if the response is complete.
	Body io.Reader
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Framed is false if the body is delimited only by the end of the
	// connection.
	Framed bool
	// AnnouncesEnd reports whether the header says that the connection ends after the
	// response. The end of a connection without it is more likely that of its target.
	AnnouncesEnd bool
	// Identified reports whether the response certainly answers the request.
	Identified bool

	body          io.Closer
	written       chan error
	closing       bool
	recordRefusal func()
	release       func(reuse bool)
}

// RecordRefusal records that the target has refused the request, so that the
// request isn't sent on the same connection again. It must be called before
// Close.
func (a *Response) RecordRefusal() { a.recordRefusal() }

// Close ends the exchange. The connection is reused only if the request was
// fully written and the body was read to its end, as reported by complete.
func (a *Response) Close(complete bool) {
	if a.release == nil {
		return
	}
	reuse := complete && a.Framed && !a.closing
	if a.written != nil {
		select {
		case err := <-a.written:
			reuse = reuse && err == nil
		default:
			// The rest of the body would corrupt the next request.
			reuse = false
		}
	}
	a.release(reuse)
	a.release = nil
	_ = a.body.Close()
}

// exchange writes a request and reads the response header.
func (c *conn) exchange(q *Request, identity string, r *recoverer.Recoverer) (*Response, error) {
	var written chan error
	head := encode(q)
	c.head.hold = q.Hold
	if head.Len()+len(q.Body) <= maxInlineBytes {
		head.Write(q.Body)
		// The target may have responded before it closed the connection.
		if _, err := c.Write(head.Bytes()); err != nil && c.reader.Buffered() == 0 && c.uses == 0 {
			return nil, eris.Wrap(err, "write")
		}
	} else {
		written = make(chan error, 1)
		go func() {
			written <- r.Do("write request", func() error {
				// The body is not copied: it may be large.
				_, err := (&net.Buffers{head.Bytes(), q.Body}).WriteTo(c.Conn)
				return err
			})
		}()
	}
	a, err := c.readResponse(q, identity)
	c.head.hold = nil // an idle connection must not keep what belongs to the request
	if err != nil {
		return nil, err
	}
	a.written = written
	a.recordRefusal = func() { c.recordRefusal(q.id(identity)) }
	return a, nil
}

// readResponse reads the header of the response to a request.
func (c *conn) readResponse(q *Request, identity string) (*Response, error) {
	c.head.left, c.head.begun = maxHeadBytes, false
	stale := false
	for range maxStaleResponses + maxInformational {
		r, err := c.readHead(q.Method) //nolint:bodyclose // Response.Close closes it
		if err != nil {
			return nil, err
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		origin := c.identify(q.id(identity), r.Header.Get(identity))
		switch origin {
		case anotherRequest:
			if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStaleBytes)); err != nil || n == maxStaleBytes {
				return nil, eris.Wrapf(errors.Join(fault.Malformed, err), "response to another request, %d bytes discarded", n)
			}
			stale = true
			continue
		case possiblyEarlier:
			return nil, eris.Wrapf(fault.Malformed, "response with status %d has no ID", r.StatusCode)
		default:
			return c.newResponse(r, origin == thisRequest, stale), nil
		}
	}
	return nil, eris.Wrap(fault.Uncertain, "received only responses to other requests")
}

// newResponse returns a response whose header has been read. A connection on
// which responses are out of step is not used again.
func (c *conn) newResponse(r *http.Response, identified, outOfStep bool) *Response {
	c.timeout = keepAliveTimeout(r.Header)
	a := &Response{
		Status: r.StatusCode, Header: r.Header, Body: r.Body, body: r.Body, Length: r.ContentLength, Identified: identified,
		Framed:       r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Request.Method == http.MethodHead,
		AnnouncesEnd: announcesEnd(r), closing: r.Close || outOfStep,
	}
	if r.ContentLength < 0 {
		a.Body = &openReader{Reader: r.Body, conn: c}
	}
	return a
}

// isUsable reports whether an idle connection is open and has no unread data.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, err := syscall.Read(int(fd), b[:])
		quiet = n <= 0 && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK))
		return true
	})
	return err == nil && quiet
}

// setAckTimeout makes the kernel close the connection if sent data is not
// acknowledged in time.
func setAckTimeout(t *net.TCPConn) error {
	raw, err := t.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "get raw connection")
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout/time.Millisecond))
	})
	return errors.Join(err, failed)
}
