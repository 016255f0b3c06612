package exchanger_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
)

// A faulty target may send bytes without end where the head of a response is
// due, or as the response to an earlier request. Read to its end, that would
// fill the memory of the instance, or hold the request until its deadline.
func TestEndlessResponse(t *testing.T) {
	const most = 4 << 20 // bytes that may be read before the exchange fails, with the buffers of both sockets
	chunk := bytes.Repeat([]byte("x"), 32<<10)
	lines := bytes.Repeat([]byte("X-A: b\r\n"), 4<<10)
	for _, test := range []struct {
		name, start string
		repeated    []byte
	}{
		{"status line", "HTTP/1.1 200 ", chunk},
		{"no response", "", chunk},
		{"header line", "HTTP/1.1 200 OK\r\nX-A: ", chunk},
		{"header lines", "HTTP/1.1 200 OK\r\n", lines},
		{"informational responses", "", bytes.Repeat([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"), 1<<10)},
		{"body of another response", "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n\r\n", chunk},
	} {
		t.Run(test.name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					return
				}
				total, err := c.Write([]byte(test.start))
				for err == nil && total < 8*most {
					var n int
					n, err = c.Write(test.repeated)
					total += n
				}
				sent <- total
			})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			response, err := exchanger.New(exchanger.Config{EchoHeader: idHeader}).Send(ctx, newRequest(address, "a", 0))
			if response != nil {
				response.Close(false)
			}
			if !errors.Is(err, fault.Uncertain) || ctx.Err() != nil {
				t.Errorf("got %v, want an uncertain outcome before the deadline", err)
			}
			if got := <-sent; got > most {
				t.Errorf("the target could send %d bytes, want at most %d", got, most)
			}
		})
	}
}
