package listener

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// drainServer is a server whose handler, on "/wait", signals its start and waits
// for proceed. Its answers close the connection once closing is closed.
type drainServer struct {
	listener                *Listener
	address                 string
	begun, proceed, closing chan struct{}
	closeOnce               sync.Once
}

func startDrainServer(t *testing.T) *drainServer {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveDrain(t, tcp)
}

// serveDrain serves the connections of a listener.
func serveDrain(t *testing.T, tcp net.Listener) *drainServer {
	t.Helper()
	s := &drainServer{
		listener: New(Config{Listener: tcp}), address: tcp.Addr().String(),
		begun: make(chan struct{}, 1), proceed: make(chan struct{}), closing: make(chan struct{}),
	}
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, ConnState: s.listener.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // its length doesn't matter
		if r.URL.Path == "/wait" {
			s.begun <- struct{}{}
			<-s.proceed
		}
		select {
		case <-s.closing:
			w.Header().Set("Connection", "close")
		default:
		}
	})}
	go func() {
		if err := server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// drain starts to drain the listener and returns a channel with the outcome.
func (s *drainServer) drain(ctx context.Context) chan error {
	s.closeOnce.Do(func() { close(s.closing) })
	drained := make(chan error, 1)
	go func() { drained <- s.listener.Drain(ctx) }()
	return drained
}

// dial connects a caller.
func (s *drainServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// send writes a part of a request.
func send(t *testing.T, c net.Conn, part string) {
	t.Helper()
	if _, err := io.WriteString(c, part); err != nil {
		t.Fatal(err)
	}
}

// answered reads an answer.
func answered(t *testing.T, answers *bufio.Reader) {
	t.Helper()
	a, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Errorf("got no answer: %v", err)
		return
	}
	_ = a.Body.Close()
}

const waitRequest = "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"

// A request that a caller has begun to send before a planned stop, or while it goes
// on, must be answered. http.Server.Shutdown closed its connection after it had read
// the header.
func TestDrainAnswersRequests(t *testing.T) {
	for _, test := range []struct {
		name           string
		before, during string
	}{
		{"within the first header", "GET / HTTP/1.1\r\nHo", "st: a\r\n\r\n"},
		{"within a later header", shortRequest + "GET / HTTP/1.1\r\nHo", "st: a\r\n\r\n"},
		{"within the first bytes", shortRequest + "G", "ET / HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"within a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab", "cd"},
		{"after the connection was opened", "", shortRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startDrainServer(t)
			c, answers := s.dial(t)
			send(t, c, test.before)
			if strings.HasPrefix(test.before, shortRequest) {
				answered(t, answers)
			}
			time.Sleep(50 * time.Millisecond)
			drained := s.drain(t.Context())
			time.Sleep(minIdle / 2)
			send(t, c, test.during)
			answered(t, answers)
			if err := <-drained; err != nil {
				t.Error(err)
			}
		})
	}
}

// The next request of a caller, whose first byte the server has read while it
// answered the request before, must be answered too.
func TestDrainAnswersNextRequest(t *testing.T) {
	s := startDrainServer(t)
	c, answers := s.dial(t)
	send(t, c, waitRequest)
	<-s.begun
	send(t, c, "G")
	time.Sleep(50 * time.Millisecond)
	s.proceed <- struct{}{}
	answered(t, answers)
	time.Sleep(minIdle + 100*time.Millisecond)
	drained := s.drain(t.Context())
	time.Sleep(100 * time.Millisecond)
	send(t, c, "ET / HTTP/1.1\r\nHost: a\r\n\r\n")
	answered(t, answers)
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Connections on which no request is under way must not hold up a planned stop:
// Shutdown waited 5 s for a new one, and without end for a caller that stopped
// within its header.
func TestDrainEndsPromptly(t *testing.T) {
	for _, test := range []struct {
		name string
		sent string
		want time.Duration // at most, without delays by a busy machine
	}{
		{"nothing sent", "", minIdle},
		{"one request answered", shortRequest, minIdle},
		{"half a header", "GET / HTTP/1.1\r\nHo", headerTimeout},
		{"half a later header", shortRequest + "GE", headerTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startDrainServer(t)
			c, _ := s.dial(t)
			send(t, c, test.sent)
			time.Sleep(50 * time.Millisecond)
			start := time.Now()
			if err := <-s.drain(t.Context()); err != nil {
				t.Error(err)
			}
			if got := time.Since(start); got > test.want+time.Second {
				t.Errorf("drained after %v, want at most %v", got, test.want)
			}
			if _, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection is still open, want it closed")
			}
		})
	}
}

// Drain must wait for a request that is being served, and its error must say what
// the connections do that are left when the time is up.
func TestDrainWaitsForAnswer(t *testing.T) {
	s := startDrainServer(t)
	c, answers := s.dial(t)
	send(t, c, waitRequest)
	<-s.begun
	ctx, cancel := context.WithTimeout(t.Context(), 2*minIdle)
	defer cancel()
	err := <-s.drain(ctx)
	if want := "open connections: 1 with a request, 0 within a header, 0 idle"; err == nil || !strings.HasPrefix(err.Error(), want) {
		t.Errorf("got error %v, want %s", err, want)
	}
	drained := s.drain(t.Context())
	s.proceed <- struct{}{}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	answered(t, answers)
}

// A connection whose last answer has just ended carries no request, so that the end of
// the grace period aborts none.
func TestDrainEndsWithIdleConnection(t *testing.T) {
	s := startDrainServer(t)
	c, answers := s.dial(t)
	send(t, c, shortRequest)
	answered(t, answers)
	time.Sleep(minIdle / 3)
	ctx, cancel := context.WithTimeout(t.Context(), minIdle/3)
	defer cancel()
	if err := s.listener.Drain(ctx); err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

// gatedConn holds the server's reads back while gate is held, so that bytes wait in the
// kernel as on a machine without free processors.
type gatedConn struct {
	*net.TCPConn
	gate *sync.Mutex
}

func (c *gatedConn) Read(b []byte) (int, error) {
	c.gate.Lock()
	defer c.gate.Unlock()
	return c.TCPConn.Read(b)
}

// gatedListener accepts gatedConns.
type gatedListener struct {
	net.Listener
	gate *sync.Mutex
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{c.(*net.TCPConn), l.gate}, nil
}

// A request that has arrived, but that a busy server hasn't read yet, must be answered.
func TestDrainAnswersUnreadRequest(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var gate sync.Mutex
	gate.Lock()
	s := serveDrain(t, &gatedListener{tcp, &gate})
	c, answers := s.dial(t)
	time.Sleep(minIdle + 50*time.Millisecond)
	send(t, c, shortRequest)
	time.Sleep(50 * time.Millisecond)
	drained := s.drain(t.Context())
	time.Sleep(100 * time.Millisecond)
	gate.Unlock()
	answered(t, answers)
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
