package dispatcher

import (
	"context"
	"net/http"
	"time"
)

const (
	// chunkSize is the size of a read buffer.
	chunkSize = 4096
	// drainTime bounds the wait for the end of an answer whose content is
	// whole, so that its connection can be used again.
	drainTime = time.Second
)

// exchange is one HTTP request whose answer is read by its own goroutine, so
// that several connections can be watched at a time.
type exchange struct {
	events chan event
	cancel context.CancelFunc
	start  time.Time
}

// event is a part of an answer: the response first, then its data, then the
// error or io.EOF. The data is valid until the next event is received.
type event struct {
	response *http.Response
	data     []byte
	err      error
}

// begin sends a request.
func begin(transport http.RoundTripper, request *http.Request) *exchange {
	ctx, cancel := context.WithCancel(context.WithoutCancel(request.Context()))
	x := &exchange{events: make(chan event), cancel: cancel, start: time.Now()}
	go x.run(ctx, transport, request.WithContext(ctx))
	return x
}

func (x *exchange) run(ctx context.Context, transport http.RoundTripper, request *http.Request) {
	defer x.cancel()
	response, err := transport.RoundTrip(request)
	if err != nil {
		x.send(ctx, event{err: err})
		return
	}
	body := response.Body // the receiver replaces the field
	defer body.Close()
	if !x.send(ctx, event{response: response}) {
		return
	}
	// The receiver uses one buffer while the next event is read into the other.
	var buffers [2][chunkSize]byte
	for i := 0; ; i = 1 - i {
		n, err := body.Read(buffers[i][:])
		if n > 0 && !x.send(ctx, event{data: buffers[i][:n]}) {
			return
		}
		if err != nil {
			x.send(ctx, event{err: err})
			return
		}
		if n == 0 {
			i = 1 - i
		}
	}
}

func (x *exchange) send(ctx context.Context, e event) bool {
	select {
	case x.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// drain reads the rest of an answer, so that its connection is kept.
func (x *exchange) drain() {
	defer x.cancel()
	timer := time.NewTimer(drainTime)
	defer timer.Stop()
	for {
		select {
		case e := <-x.events:
			if e.err != nil {
				return
			}
		case <-timer.C:
			return
		}
	}
}
