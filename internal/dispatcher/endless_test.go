package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
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

// newTarget starts a target that handles connections, and returns a dispatcher in
// front of it.
func newTarget(t *testing.T, read *atomic.Int64, handle func(c net.Conn, r *bufio.Reader)) *Dispatcher {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	target := &wire.Target{Name: "t", Address: l.Addr().String()}
	d := New(Config{
		Pick: func(_, _ string, _ []byte, allowed func(string) bool) (*wire.Target, func(), error) {
			if allowed(target.Name) {
				return target, func() {}, nil
			}
			return nil, nil, fault.Unavailable
		},
		Blocked: func([]byte) bool { return false }, Clear: func([]byte) {}, RecordCrash: func([]byte, string) {}, Logger: zap.NewNop(),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &countingConn{c, read}, err
		},
	})
	t.Cleanup(d.Close)
	return d
}

// newJob returns a job for the target.
func newJob(id string, idempotent bool) Job {
	return Job{
		ID: id, Model: "m", Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("{}"),
		Idempotent: idempotent, Allowed: func(string) bool { return true },
	}
}

// A faulty target may send a head, a trailer or a line without end. Read to its end,
// it would fill the memory of the instance.
func TestEndlessResponse(t *testing.T) {
	const (
		most = 1 << 20
		// A line is read up to twice its limit, since the buffer grows by doubling.
		mostOfStream = 2*maxLine + maxHeadBytes
	)
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name, start, repeated string
		isStream              bool
	}{
		{"status line", "HTTP/1.1 200 ", "x", false},
		{"header line", "HTTP/1.1 200 OK\r\nX-A: ", "x", false},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", false},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		{"size of a chunk", head, "0", false},
		{"lines of a trailer", head + "0\r\n", "X-A: b\r\n", false},
		{"line of a stream", "HTTP/1.1 200 OK\r\n\r\n", "x", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			repeated := bytes.Repeat([]byte(test.repeated), 4<<10)
			var read atomic.Int64
			d := newTarget(t, &read, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				total, err := c.Write([]byte(test.start))
				for err == nil && total < 64*most {
					var n int
					n, err = c.Write(repeated)
					total += n
				}
			})
			job := newJob("r", true)
			if test.isStream {
				job.Progress = func() int { return 0 }
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := d.Do(ctx, job, func(_ *wire.Target, r *http.Response) (bool, error) {
				if !test.isStream {
					_, err := io.Copy(io.Discard, r.Body)
					return false, err
				}
				lines := bufio.NewScanner(r.Body)
				lines.Buffer(nil, 1<<20)
				lines.Scan()
				return false, lines.Err()
			})
			if err == nil || ctx.Err() != nil {
				t.Errorf("got %v, want an error before the deadline", err)
			}
			want := int64(most)
			if test.isStream {
				want = mostOfStream
			}
			if got := read.Load(); got > want {
				t.Errorf("got %d bytes read, want at most %d", got, want)
			}
		})
	}
}
