package dispatcher

import (
	"context"
	"io"
	"net/http"
	"time"
)

// drainTimeout bounds the wait for the end of a response whose content is
// complete, so that its connection can be reused.
const drainTimeout = time.Second

// exchange is one HTTP request and its response. Its context ends with that of
// its parent until drain is called.
type exchange struct {
	transport http.RoundTripper
	request   *http.Request
	cancel    context.CancelFunc
	detach    func() bool // stops following the parent context
	response  *http.Response
	body      io.ReadCloser // body of the response; response.Body itself is replaced
	buffered  []byte        // read ahead from the body
	eof       bool          // the body has been read to the end
}

// newExchange returns an exchange for the request returned by build.
func newExchange(parent context.Context, transport http.RoundTripper, build func(context.Context) (*http.Request, error)) (*exchange, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	request, err := build(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	return &exchange{transport: transport, request: request, cancel: cancel, detach: context.AfterFunc(parent, cancel)}, nil
}

// open sends the request and waits for the response header.
func (x *exchange) open() error {
	response, err := x.transport.RoundTrip(x.request)
	if err != nil {
		return err
	}
	if err := x.request.Context().Err(); err != nil {
		_ = response.Body.Close() // canceled in the meantime
		return err
	}
	x.response, x.body = response, response.Body
	return nil
}

// read reads from the response body.
func (x *exchange) read(p []byte) (int, error) {
	if len(x.buffered) > 0 {
		n := copy(p, x.buffered)
		x.buffered = x.buffered[n:]
		return n, nil
	}
	n, err := x.body.Read(p)
	x.eof = err == io.EOF
	return n, err
}

// close aborts the exchange and closes its connection.
func (x *exchange) close() {
	x.detach()
	x.cancel()
	if x.body != nil {
		_ = x.body.Close()
	}
}

// drain reads the rest of the body in the background, so that the connection
// can be reused.
func (x *exchange) drain() {
	if x.eof {
		x.close()
		return
	}
	x.detach()
	go func() {
		defer x.close()
		timer := time.AfterFunc(drainTimeout, x.cancel)
		defer timer.Stop()
		_, _ = io.Copy(io.Discard, x.body)
	}()
}
