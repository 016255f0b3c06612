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
)

// maxInformal is the number of 1xx answers before the final one.
const maxInformal = 4

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	used    int           // requests before this one
	timeout time.Duration // idle timeout that the target named, or 0
	since   time.Time     // when it became idle
	expires time.Time

	withdrawn atomic.Bool
}

// withdrawTime is the time in which a target ends the answer to a request that
// was withdrawn.
const withdrawTime = 250 * time.Millisecond

// withdraw tells the target that nobody waits for the answer. What the target
// has sent before it ends the connection tells whether it had begun.
func (c *conn) withdraw() {
	c.withdrawn.Store(true)
	t, ok := c.Conn.(*net.TCPConn)
	if !ok || t.CloseWrite() != nil || t.SetReadDeadline(time.Now().Add(withdrawTime)) != nil {
		_ = c.Close()
	}
}

// isUnbegun reports whether an error of a read means that the target ended the
// connection in order, after the request was withdrawn.
func (c *conn) isUnbegun(err error) bool {
	return c.withdrawn.Load() && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
}

// Response is the answer to one request. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the target has finished the answer.
	Body io.Reader
	// Framed is false if only the end of the connection ends the body.
	Framed bool

	conn    *conn
	body    io.Closer
	written chan error
	closing bool
	release func(reuse bool)
}

// IsNotStarted reports whether an error of Body means that the target ended the
// answer in order after the request was withdrawn, so that nothing was lost on
// the way.
func (a *Response) IsNotStarted(err error) bool { return a.conn.isUnbegun(err) }

// Close ends the exchange. The connection is used again only if the body was
// read to its end and the request was written.
func (a *Response) Close(whole bool) {
	if a.release == nil {
		return
	}
	reuse := whole && a.Framed && !a.closing
	if a.written != nil {
		select {
		case err := <-a.written:
			reuse = reuse && err == nil
		default:
			// The rest of the body would run into the next request.
			reuse = false
		}
	}
	a.release(reuse)
	a.release = nil
	_ = a.body.Close()
}

// exchange writes a request and reads the header of its answer.
func (c *conn) exchange(q *Request, identity string) (*Response, error) {
	var written chan error
	data := encode(q)
	if len(data) <= inlineBody {
		// An answer may have come before the target closed the connection.
		if _, err := c.Write(data); err != nil && c.reader.Buffered() == 0 && c.used == 0 {
			return nil, eris.Wrap(err, "write")
		}
	} else {
		written = make(chan error, 1)
		go func() {
			_, err := c.Write(data)
			written <- err
		}()
	}
	for range maxStray + maxInformal {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method}) //nolint:bodyclose // Answer.Close closes it
		if err != nil {
			return nil, eris.Wrap(err, "read")
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		want := q.Header.Get(identity)
		if got := r.Header.Get(identity); identity != "" && want != "" && got != "" && got != want {
			// The answer to an earlier request on this connection.
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return nil, eris.Wrap(err, "read")
			}
			continue
		}
		c.timeout = keepAlive(r.Header)
		return &Response{
			Status: r.StatusCode, Header: r.Header, Body: r.Body, body: r.Body, written: written,
			Framed: r.ContentLength >= 0 || len(r.TransferEncoding) > 0, closing: r.Close,
		}, nil
	}
	return nil, eris.Wrap(fault.Uncertain, "only answers to other requests")
}

// isQuiet reports whether an idle connection is open and has nothing to read.
func (c *conn) isQuiet() bool {
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

// limitSilence ends the connection when data isn't acknowledged.
func limitSilence(t *net.TCPConn) error {
	raw, err := t.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "raw connection")
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged/time.Millisecond))
	})
	return errors.Join(err, failed)
}
