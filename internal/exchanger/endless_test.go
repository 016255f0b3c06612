package exchanger_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// A faulty target may send bytes without end where the head of a response is
// due, or as the response to an earlier request. Read to its end, that would
// fill the memory of the instance, or hold the request until its deadline.
func TestEndlessResponse(t *testing.T) {
	// Of the limits, that of a discarded response is the largest: 1 MiB, and the
	// head before it.
	const most = 3 << 19
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
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					return
				}
				total, err := c.Write([]byte(test.start))
				for err == nil && total < 32*most {
					var n int
					n, err = c.Write(test.repeated)
					total += n
				}
			})
			var read atomic.Int64
			dial := func(ctx context.Context, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return &countingConn{c, &read}, err
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			response, err := exchanger.New(exchanger.Config{EchoHeader: idHeader, Dial: dial}).Send(ctx, newRequest(address, "a", 0))
			if response != nil {
				response.Close(false)
			}
			if !errors.Is(err, fault.Uncertain) || ctx.Err() != nil {
				t.Errorf("got %v, want an uncertain outcome before the deadline", err)
			}
			if got := read.Load(); got > most {
				t.Errorf("got %d bytes read, want at most %d", got, most)
			}
		})
	}
}

// A faulty target may send the framing of a body without end. Read to its end, it
// would fill the memory of the instance.
func TestEndlessFraming(t *testing.T) {
	const most = 1 << 20
	chunked := "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct{ name, start, repeated string }{
		{"size of a chunk", chunked, "0"},
		{"extension of a chunk", chunked + "1;", "x"},
		{"line of a trailer", chunked + "0\r\nX-A: ", "x"},
		{"lines of a trailer", chunked + "0\r\n", "X-A: b\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			repeated := bytes.Repeat([]byte(test.repeated), 4<<10)
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := readRequest(r); err != nil {
					return
				}
				total, err := c.Write([]byte(test.start))
				for err == nil && total < 16*most {
					var n int
					n, err = c.Write(repeated)
					total += n
				}
			})
			var read atomic.Int64
			dial := func(ctx context.Context, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return &countingConn{c, &read}, err
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			a, err := exchanger.New(exchanger.Config{EchoHeader: idHeader, Dial: dial}).Send(ctx, newRequest(address, "a", 0))
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, a.Body)
			a.Close(err == nil)
			if err == nil || ctx.Err() != nil {
				t.Errorf("got %v, want an error before the deadline", err)
			}
			if got := read.Load(); got > most {
				t.Errorf("got %d bytes read, want at most %d", got, most)
			}
		})
	}
}
