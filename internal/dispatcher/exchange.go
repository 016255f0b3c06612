package dispatcher

import (
	"context"
	"io"
	"net/http"
	"time"
)

// drainTime bounds the wait for the end of an answer whose content is whole,
// so that its connection can be used again.
const drainTime = time.Second

// exchange is one HTTP request and its answer. Its context ends with the one of
// its parent until the answer is drained.
type exchange struct {
	transport http.RoundTripper
	request   *http.Request
	cancel    context.CancelFunc
	detach    func() bool // from the parent
	response  *http.Response
	body      io.ReadCloser // of the response, whose field the consumer replaces
	ahead     []byte        // already read from the body
	ended     bool          // the body has been read to its end
}

// newExchange returns an exchange for the request that build returns.
func newExchange(parent context.Context, transport http.RoundTripper, build func(context.Context) (*http.Request, error)) (*exchange, error) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	request, err := build(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	return &exchange{transport: transport, request: request, cancel: cancel, detach: context.AfterFunc(parent, cancel)}, nil
}

// open sends the request and waits for the status and the headers.
func (x *exchange) open() error {
	response, err := x.transport.RoundTrip(x.request)
	if err != nil {
		return err
	}
	if err := x.request.Context().Err(); err != nil {
		_ = response.Body.Close() // the exchange has been given up meanwhile
		return err
	}
	x.response, x.body = response, response.Body
	return nil
}

// read reads the body.
func (x *exchange) read(p []byte) (int, error) {
	if len(x.ahead) > 0 {
		n := copy(p, x.ahead)
		x.ahead = x.ahead[n:]
		return n, nil
	}
	n, err := x.body.Read(p)
	x.ended = err == io.EOF
	return n, err
}

// close gives up the exchange and its connection.
func (x *exchange) close() {
	x.detach()
	x.cancel()
	if x.body != nil {
		_ = x.body.Close()
	}
}

// drain reads the rest of an answer, so that its connection is kept.
func (x *exchange) drain() {
	if x.ended {
		x.close()
		return
	}
	x.detach()
	go func() {
		defer x.close()
		timer := time.AfterFunc(drainTime, x.cancel)
		defer timer.Stop()
		_, _ = io.Copy(io.Discard, x.body)
	}()
}
