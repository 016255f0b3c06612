package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
)

const idHeader = "X-Id"

// serve accepts connections, calls handle for each with its number, and returns
// the address.
func serve(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads a complete request and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q.Header.Get(idHeader), err
}

func respond(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newRequest(address, id string, size int) *exchanger.Request {
	return &exchanger.Request{
		Address: address, Method: http.MethodPost, URI: "/a/%2F?b", Host: "h",
		Header: http.Header{idHeader: {id}}, Body: make([]byte, size),
	}
}

// roundTrip sends a request and returns the response body.
func roundTrip(t *testing.T, e *exchanger.Exchanger, q *exchanger.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, err := e.Send(ctx, q)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a.Body)
	a.Close(err == nil)
	return string(body), err
}

// A duplicate response to an earlier request must not be mistaken for the
// response to the next one.
func TestStaleResponse(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		last := ""
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			if last != "" {
				respond(c, last, "extra")
			}
			respond(c, id, "answer to "+id)
			last = id
		}
	})
	e := exchanger.New(exchanger.Config{EchoHeader: idHeader})
	for _, id := range []string{"1", "2", "3"} {
		got, err := roundTrip(t, e, newRequest(address, id, 0))
		if want := "answer to " + id; err != nil || got != want {
			t.Errorf("request %s: got %q and %v, want %q", id, got, err, want)
		}
	}
}

// An idle connection that the target has closed, or that has unsolicited data,
// must not be reused, since the next request could be lost.
func TestStaleConnection(t *testing.T) {
	for _, stray := range []string{"", "HTTP/1.1 200 OK\r\n\r\n"} {
		address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			respond(c, id, fmt.Sprint("connection ", n))
			_, _ = io.WriteString(c, stray)
			if stray != "" {
				time.Sleep(time.Second)
			}
		})
		e := exchanger.New(exchanger.Config{EchoHeader: idHeader})
		for n, id := range []string{"1", "2"} {
			got, err := roundTrip(t, e, newRequest(address, id, 0))
			if want := fmt.Sprint("connection ", n+1); err != nil || got != want {
				t.Errorf("stray %q: got %q and %v, want %q", stray, got, err, want)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// The error kind decides whether a request may be retried.
func TestErrorKinds(t *testing.T) {
	closed := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = readRequest(r) })
	broken := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "this is not a response\r\n\r\n")
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := l.Addr().String()
	_ = l.Close()
	for _, test := range []struct {
		name, address string
		want          fault.Kind
	}{
		{"connection refused", nobody, fault.Unavailable},
		{"closed without a response", closed, fault.Uncertain},
		{"not HTTP", broken, fault.Uncertain},
	} {
		_, err := roundTrip(t, exchanger.New(exchanger.Config{EchoHeader: idHeader}), newRequest(test.address, "1", 100))
		if got := fault.Of(err); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}

// A canceled request counts as not started only if the target closed the
// connection before it sent any part of a response.
func TestCancel(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin string
		want  bool
	}{
		{"not started", "", true},
		{"head begun", "HTTP/1.1 200 O", false},
		{"informational response", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		{"earlier refusal", "HTTP/1.1 503 X\r\n" + idHeader + ": other\r\nContent-Length: 0\r\n\r\n", false},
		{"begun", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			received := make(chan struct{}, 1)
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, test.begin)
				received <- struct{}{}
				_, _ = r.ReadByte() // until the request is canceled
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-received
				time.Sleep(20 * time.Millisecond)
				cancel()
			}()
			a, err := exchanger.New(exchanger.Config{EchoHeader: idHeader}).Send(ctx, newRequest(address, "1", 10))
			if got := errors.Is(err, exchanger.ErrNotStarted); got != test.want {
				t.Errorf("got error %v, want ErrNotStarted: %v", err, test.want)
			}
			if a != nil {
				a.Close(false)
			}
		})
	}
}

// A connection must not be reused if the target responded before it read the
// whole request body, since the rest of the body would corrupt the next
// request.
func TestEarlyResponse(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		respond(c, "1", fmt.Sprint("connection ", n))
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r)
	})
	e := exchanger.New(exchanger.Config{EchoHeader: idHeader})
	for n := range 2 {
		got, err := roundTrip(t, e, newRequest(address, "1", 32<<20))
		if want := fmt.Sprint("connection ", n+1); err != nil || got != want {
			t.Errorf("got %q and %v, want %q", got, err, want)
		}
	}
}
