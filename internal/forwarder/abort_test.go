package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/forwarder"
)

// A request that comes late in a planned stop, on a connection that a long stream has
// kept open, must not be sent to a target and then be aborted at the end of the grace
// period. Its caller has time to go elsewhere if it hears at once that it didn't run.
func TestRequestThatWouldBeAborted(t *testing.T) {
	for _, test := range []struct {
		name     string
		stopping bool
		left     time.Duration // until the requests in flight are aborted
		deadline string        // in milliseconds
		want     int
	}{
		{"not stopping", false, 0, "1000", http.StatusOK},
		{"ends before", true, 1500 * time.Millisecond, "1000", http.StatusOK},
		{"may last longer", true, 900 * time.Millisecond, "1000", http.StatusServiceUnavailable},
		{"route may last longer", true, 1500 * time.Millisecond, "", http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			runs := 0
			f := newFixtureWith(t, func(cfg *forwarder.Config) {
				cfg.CloseConnection = func() bool { return test.stopping }
				cfg.Abort = func() time.Time {
					if !test.stopping {
						return time.Time{}
					}
					return time.Now().Add(test.left)
				}
			}, func(_ int, w io.Writer, _ *http.Request) bool {
				runs++
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Sign: s\r\nX-Id: i\r\n\r\n")
				return true
			})
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.front.URL+"/once/", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "h"
			r.Header.Set("Authorization", "Bearer key")
			r.Header.Set("X-Id", "i")
			if test.deadline != "" {
				r.Header.Set("X-Deadline", test.deadline)
			}
			a, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Body.Close()
			if a.StatusCode != test.want || a.Close != test.stopping || runs > 0 != (test.want == http.StatusOK) {
				t.Errorf("got status %d, close %v, %d runs, want status %d, close %v", a.StatusCode, a.Close, runs, test.want, test.stopping)
			}
		})
	}
}

// A request that the end of a planned stop aborts looked as if its caller had left.
func TestAbortedRequestIsLoggedAsCut(t *testing.T) {
	for _, aborted := range []bool{false, true} {
		t.Run(fmt.Sprint("aborted=", aborted), func(t *testing.T) {
			var abort atomic.Pointer[time.Time]
			abort.Store(&time.Time{})
			received, ended := make(chan struct{}), make(chan string, 1)
			f := newFixtureWith(t, func(cfg *forwarder.Config) {
				cfg.Abort = func() time.Time { return *abort.Load() }
				cfg.Observe = func(r forwarder.Report) { ended <- r.Outcome }
			}, func(_ int, w io.Writer, _ *http.Request) bool {
				close(received)
				_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the forwarder cancels
				return false
			})
			c, err := net.Dial("tcp", f.front.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, "GET /again/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: i\r\n\r\n")
			<-received
			want := "left"
			if aborted {
				now := time.Now()
				abort.Store(&now)
				want = "cut"
				f.front.CloseClientConnections()
			} else {
				_ = c.Close()
			}
			if got := <-ended; got != want {
				t.Errorf("got outcome %s, want %s", got, want)
			}
		})
	}
}
