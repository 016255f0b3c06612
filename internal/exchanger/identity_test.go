package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
)

const unidentified = "HTTP/1.1 503 X\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"

// A response without the ID of the request, read on a connection that was used
// before, may be an earlier refusal written once more. Taken for the response, it
// would tell a caller that a request did not run while the target runs it.
func TestUnidentifiedResponse(t *testing.T) {
	for _, test := range []struct {
		name   string
		before int // requests on the connection before
		stray  string
		want   error // of the last request
	}{
		{"new connection", 0, unidentified, nil},
		{"used connection", 1, unidentified, fault.Uncertain},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for n := 0; ; n++ {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					if n == test.before {
						_, _ = io.WriteString(c, test.stray)
					}
					respond(c, id, "answer")
				}
			})
			e := exchanger.New(exchanger.Config{EchoHeader: idHeader})
			for n := range test.before {
				if _, err := roundTrip(t, e, newRequest(address, fmt.Sprint(n), 0)); err != nil {
					t.Fatal(err)
				}
			}
			a, err := e.Send(t.Context(), newRequest(address, "last", 0))
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			if err == nil {
				a.Close(false)
				if a.Identified {
					t.Errorf("got status %d as identified, want it not to be", a.Status)
				}
			}
		})
	}
}

// A response with the ID of the request is its response, on any connection.
func TestIdentifiedResponse(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
			respond(c, id, "answer")
		}
	})
	e := exchanger.New(exchanger.Config{EchoHeader: idHeader})
	for _, id := range []string{"1", "2"} {
		a, err := e.Send(t.Context(), newRequest(address, id, 0))
		if err != nil || !a.Identified {
			t.Fatalf("request %s: got %+v and %v, want an identified response", id, a, err)
		}
		_, err = io.Copy(io.Discard, a.Body)
		a.Close(err == nil)
	}
}

// A request that was refused on a connection must not be sent on it again: a
// second copy of the refusal has the same ID as the response to the new run.
func TestRefusedRequestIsSentAgain(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
			respond(c, id, fmt.Sprint("connection ", n))
		}
	})
	e := exchanger.New(exchanger.Config{EchoHeader: idHeader})
	for n, want := range []string{"connection 1", "connection 2"} {
		a, err := e.Send(t.Context(), newRequest(address, "1", 0))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(a.Body)
		if string(body) != want || err != nil {
			t.Errorf("attempt %d: got %q and %v, want %q", n+1, body, err, want)
		}
		a.RecordRefusal()
		a.Close(err == nil)
	}
	if got, err := roundTrip(t, e, newRequest(address, "2", 0)); err != nil || got != "connection 2" {
		t.Errorf("another request: got %q and %v, want it on the last connection", got, err)
	}
}

// Without an ID, responses on a connection can't be told apart. Such a request
// must get a connection of its own, and no response with the ID of another.
func TestRequestWithoutID(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
			if id == "" {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
				continue
			}
			respond(c, id, fmt.Sprint(n))
		}
	})
	e := exchanger.New(exchanger.Config{EchoHeader: idHeader})
	for n, want := range []string{"1", "2", "3"} {
		id := ""
		if n == 0 {
			id = "1"
		}
		if got, err := roundTrip(t, e, newRequest(address, id, 0)); err != nil || got != want {
			t.Errorf("request %d: got connection %q and %v, want %s", n+1, got, err, want)
		}
	}
	foreign := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			respond(c, "other", "answer")
		}
	})
	if got, err := roundTrip(t, e, newRequest(foreign, "", 0)); !errors.Is(err, fault.Uncertain) {
		t.Errorf("response to another request: got %q and %v, want %v", got, err, fault.Uncertain)
	}
}

// A connection on which a response to another request was read is out of step
// and must not be used again.
func TestConnectionOutOfStep(t *testing.T) {
	address := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
			if id == "2" {
				respond(c, "1", "once more")
			}
			respond(c, id, fmt.Sprint("connection ", n))
		}
	})
	e := exchanger.New(exchanger.Config{EchoHeader: idHeader})
	for _, test := range []struct{ id, want string }{{"1", "connection 1"}, {"2", "connection 1"}, {"3", "connection 2"}} {
		if got, err := roundTrip(t, e, newRequest(address, test.id, 0)); err != nil || got != test.want {
			t.Errorf("request %s: got %q and %v, want %q", test.id, got, err, test.want)
		}
	}
}

// lateConn receives bytes after the check of an idle connection and before the
// request is written.
type lateConn struct {
	net.Conn
	beforeWrite func()
}

func (c *lateConn) Write(b []byte) (int, error) {
	c.beforeWrite()
	return c.Conn.Write(b)
}

// A refusal that arrives between the check of an idle connection and the write
// belongs to an earlier request, with or without its ID.
func TestResponseBeforeRequest(t *testing.T) {
	for _, test := range []struct {
		name, early, want string
		kind              error
	}{
		{"with the ID of the earlier request", "HTTP/1.1 503 X\r\n" + idHeader + ": 1\r\nContent-Length: 0\r\n\r\n", "answer to 2", nil},
		{"without an ID", unidentified, "", fault.Uncertain},
	} {
		t.Run(test.name, func(t *testing.T) {
			conns := make(chan net.Conn, 1)
			address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				conns <- c
				for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
					respond(c, id, "answer to "+id)
				}
			})
			writes := 0
			dial := func(ctx context.Context, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return &lateConn{c, func() {
					if writes++; writes == 2 {
						_, _ = io.WriteString(<-conns, test.early)
						time.Sleep(20 * time.Millisecond)
					}
				}}, err
			}
			e := exchanger.New(exchanger.Config{EchoHeader: idHeader, Dial: dial})
			if _, err := roundTrip(t, e, newRequest(address, "1", 0)); err != nil {
				t.Fatal(err)
			}
			got, err := roundTrip(t, e, newRequest(address, "2", 0))
			if got != test.want || !errors.Is(err, test.kind) {
				t.Errorf("got %q and %v, want %q and %v", got, err, test.want, test.kind)
			}
		})
	}
}

// A connection must not collect the IDs of refused requests without end.
func TestManyRefusals(t *testing.T) {
	const requests = 1000
	address := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id, err := readRequest(r); err == nil; id, err = readRequest(r) {
			respond(c, id, "")
		}
	})
	dials := 0
	e := exchanger.New(exchanger.Config{EchoHeader: idHeader, OnDial: func() { dials++ }})
	for n := range requests {
		a, err := e.Send(t.Context(), newRequest(address, fmt.Sprint(n), 0))
		if err != nil {
			t.Fatal(err)
		}
		a.RecordRefusal()
		_, err = io.Copy(io.Discard, a.Body)
		a.Close(err == nil)
	}
	if dials < 2 || dials > 10 {
		t.Errorf("got %d connections for %d refusals, want 2 to 10", dials, requests)
	}
}
