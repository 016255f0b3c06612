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

const identity = "X-Id"

// serve accepts connections and calls handle for each, with its number.
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

// receive reads a whole request and returns its id.
func receive(r *bufio.Reader) (string, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, q.Body)
	return q.Header.Get(identity), err
}

func send(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", identity, id, len(body), body)
}

func request(address, id string, size int) *exchanger.Request {
	return &exchanger.Request{
		Address: address, Method: http.MethodPost, URI: "/a/%2F?b", Host: "h",
		Header: http.Header{identity: {id}}, Body: make([]byte, size),
	}
}

// exchange sends a request and returns the body of its answer.
func exchange(t *testing.T, e *exchanger.Exchanger, q *exchanger.Request) (string, error) {
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

// A second answer to an earlier request, which arrives where the next answer
// is expected, must not be taken for it.
func TestExtraAnswer(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		last := ""
		for {
			id, err := receive(r)
			if err != nil {
				return
			}
			if last != "" {
				send(c, last, "extra")
			}
			send(c, id, "answer to "+id)
			last = id
		}
	})
	e := exchanger.New(exchanger.Config{EchoHeader: identity})
	for _, id := range []string{"1", "2", "3"} {
		got, err := exchange(t, e, request(address, id, 0))
		if want := "answer to " + id; err != nil || got != want {
			t.Errorf("request %s: got %q and %v, want %q", id, got, err, want)
		}
	}
}

// A kept connection that the target has closed, or on which bytes wait that
// nobody asked for, must not carry another request: it could be lost.
func TestStaleConnection(t *testing.T) {
	for _, stray := range []string{"", "HTTP/1.1 200 OK\r\n\r\n"} {
		address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
			id, err := receive(r)
			if err != nil {
				return
			}
			send(c, id, fmt.Sprint("connection ", n))
			_, _ = io.WriteString(c, stray)
			if stray != "" {
				time.Sleep(time.Second)
			}
		})
		e := exchanger.New(exchanger.Config{EchoHeader: identity})
		for n, id := range []string{"1", "2"} {
			got, err := exchange(t, e, request(address, id, 0))
			if want := fmt.Sprint("connection ", n+1); err != nil || got != want {
				t.Errorf("stray %q: got %q and %v, want %q", stray, got, err, want)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// The kind of an error decides whether a request may be sent again.
func TestErrors(t *testing.T) {
	closed := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = receive(r) })
	broken := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = receive(r)
		_, _ = io.WriteString(c, "these bytes are no answer\r\n\r\n")
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
		{"nobody listens", nobody, fault.Unavailable},
		{"closed without an answer", closed, fault.Uncertain},
		{"no HTTP", broken, fault.Uncertain},
	} {
		_, err := exchange(t, exchanger.New(exchanger.Config{EchoHeader: identity}), request(test.address, "1", 100))
		if got := fault.Of(err); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
}

// A request that was withdrawn costs nothing only if the target ended the
// connection before it had begun to answer.
func TestWithdraw(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin string
		want  bool
	}{
		{"not begun", "", true},
		{"begun", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			received := make(chan struct{}, 1)
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = receive(r)
				_, _ = io.WriteString(c, test.begin)
				received <- struct{}{}
				_, _ = r.ReadByte() // until the request is withdrawn
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-received
				time.Sleep(20 * time.Millisecond)
				cancel()
			}()
			a, err := exchanger.New(exchanger.Config{EchoHeader: identity}).Send(ctx, request(address, "1", 10))
			if got := errors.Is(err, exchanger.ErrNotStarted); got != test.want {
				t.Errorf("got %v, want unbegun to be %v", err, test.want)
			}
			if a != nil {
				a.Close(false)
			}
		})
	}
}

// A connection on which a target has answered before it read the whole body
// must not be used again: the rest of the body would run into the next
// request.
func TestEarlyAnswer(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		send(c, "1", fmt.Sprint("connection ", n))
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r)
	})
	e := exchanger.New(exchanger.Config{EchoHeader: identity})
	for n := range 2 {
		got, err := exchange(t, e, request(address, "1", 32<<20))
		if want := fmt.Sprint("connection ", n+1); err != nil || got != want {
			t.Errorf("got %q and %v, want %q", got, err, want)
		}
	}
}
