package dispatcher

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// readAll reads a response and ends its job.
func readAll(_ *wire.Target, r *http.Response) (bool, error) {
	_, err := io.Copy(io.Discard, r.Body)
	return false, err
}

// A target may write an earlier refusal once more on a kept connection. The caller
// must not be told that a request didn't run while the target runs it.
func TestRefusalOnceMore(t *testing.T) {
	for _, test := range []struct {
		name      string
		earlierID string
		before    int // requests on the connection before
		want      fault.Kind
	}{
		{"new connection, without an ID", "", 0, fault.Unavailable},
		{"used connection, without an ID", "", 1, fault.Uncertain},
		{"used connection, with its ID", RequestHeader + ": r0.1\r\n", 1, fault.Uncertain},
	} {
		t.Run(test.name, func(t *testing.T) {
			var read atomic.Int64
			d := newTarget(t, &read, func(c net.Conn, r *bufio.Reader) {
				for n := 0; ; n++ {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, q.Body); err != nil {
						return
					}
					if n == test.before {
						_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\n"+test.earlierID+"Content-Length: 0\r\n\r\n")
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", RequestHeader, q.Header.Get(RequestHeader))
				}
			})
			for n := range test.before {
				if _, err := d.Do(t.Context(), newJob(fmt.Sprint("r", n), true), readAll); err != nil {
					t.Fatal(err)
				}
			}
			_, err := d.Do(t.Context(), newJob("last", true), readAll)
			if err == nil || fault.Of(err) != test.want {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// A request that may run once gets a connection of its own, so that no earlier
// response can be taken for its own.
func TestSingleRunHasOwnConnection(t *testing.T) {
	var read atomic.Int64
	var conns atomic.Int32
	d := newTarget(t, &read, func(c net.Conn, r *bufio.Reader) {
		n := conns.Add(1)
		for q, err := http.ReadRequest(r); err == nil; q, err = http.ReadRequest(r) {
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Conn: %d\r\nContent-Length: 0\r\n\r\n", n)
		}
	})
	seen := map[string]bool{}
	for n := range 4 {
		_, err := d.Do(t.Context(), newJob(fmt.Sprint("r", n), n == 0), func(_ *wire.Target, r *http.Response) (bool, error) {
			seen[r.Header.Get("X-Conn")] = true
			return readAll(nil, r)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if got, want := len(seen), 4; got != want {
		t.Errorf("got %d connections, want %d", got, want)
	}
}
