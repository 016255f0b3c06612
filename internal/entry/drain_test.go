package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayapond/papayapond/internal/forwarder"
	"github.com/papayapond/papayapond/internal/listener"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	stopGrace = 8 * time.Second
	// crossing is the time within which a connection must end if a request crosses
	// its close.
	crossing = 200 * time.Millisecond
)

// stopping is an entry instance that is stopped under load.
type stopping struct {
	t       *testing.T
	address string
	ran     sync.Map // attempts that the target has run
	nextID  atomic.Int64
	served  atomic.Int64
	stops   atomic.Int64 // time of the stop signal, in Unix nanoseconds
}

// caller sends requests on one connection after another until the instance no
// longer accepts any.
type caller struct {
	*stopping
	conn    net.Conn
	dialed  time.Time
	answers *bufio.Reader
}

// request sends the parts of a request, pausing between two of them, and reports
// whether the caller may go on. Each request that is sent in full must be answered,
// unless it crosses the close of its connection, or of the listener before it has
// accepted the connection, and hasn't run.
func (c *caller) request(pause time.Duration, parts ...string) bool {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return false
		}
		c.conn, c.dialed, c.answers = conn, time.Now(), bufio.NewReader(conn)
	}
	id := fmt.Sprint(c.nextID.Add(1))
	parts[0] = strings.Replace(parts[0], "\r\n", "\r\nX-Id: "+id+"\r\n", 1)
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c.conn, part); err != nil {
			c.lost(id, i == 0, time.Now(), err)
			return true
		}
	}
	sent := time.Now()
	_ = c.conn.SetReadDeadline(sent.Add(2 * stopGrace))
	a, err := http.ReadResponse(c.answers, nil)
	for err == nil && a.StatusCode == http.StatusContinue {
		a, err = http.ReadResponse(c.answers, nil)
	}
	if err != nil {
		c.lost(id, len(parts) == 1, sent, err)
		return true
	}
	_, err = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	if err != nil || a.StatusCode != http.StatusOK || a.Header.Get("X-Id") != id {
		c.t.Errorf("request %s: got status %d, id %s, error %v", id, a.StatusCode, a.Header.Get("X-Id"), err)
	}
	c.served.Add(1)
	if a.Close {
		c.close()
	}
	return true
}

// lost checks a request that got no answer. Whole says that it was sent at once.
func (c *caller) lost(id string, whole bool, sent time.Time, err error) {
	c.close()
	_, ran := c.ran.Load(id)
	closes := time.Unix(0, c.stops.Load()).Add(drainDelay)
	crosses := whole || c.dialed.After(closes.Add(-crossing))
	if took := time.Since(sent); ran || !crosses || took > crossing {
		c.t.Errorf("request %s: got no answer after %v: %v; ran: %v", id, took, err, ran)
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// startStopping starts an instance with one target that takes up to 40 ms.
func startStopping(t *testing.T) (s *stopping, stop func() (took time.Duration, log *observer.ObservedLogs)) {
	s = &stopping{t: t}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ran.Store(r.Header.Get("X-Id"), true)
		_, _ = io.Copy(io.Discard, r.Body) // its length doesn't matter
		time.Sleep(rand.N(40 * time.Millisecond))
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Sign", "s")
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(target.Close)
	core, log := observer.New(zap.WarnLevel)
	e := New(Config{
		Name: "e1", Zone: "z", PeerAddress: "127.0.0.1:2", Grace: stopGrace, Seeds: func() []string { return nil }, Logger: zap.New(core),
		Headers:    forwarder.Headers{Attempt: "X-Id", Deadline: "X-Deadline", Signature: "X-Sign", Refused: "X-Refused", Target: "X-To", Account: "X-Account", Usage: "X-Usage", Parts: "X-Parts"},
		RetryShare: 0.2, RetrySlack: 100, RetryWindow: time.Second, LinkCapacity: 1e9, Observe: func(forwarder.Report) {}, OnDial: func() {}, OnLoan: func(bool) {},
	})
	e.applyRuleset(stressRules(t, 1))
	reply := stressReply(strings.TrimPrefix(target.URL, "http://"))
	reply.Targets, reply.TargetLimits, reply.Evidence = reply.Targets[:1], nil, nil
	e.applyReply(&wire.SyncRequest{Evidence: e.evidence.Request()}, reply)
	raw, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = raw.Addr().String()
	front := listener.New(listener.Config{Listener: raw})
	server := &http.Server{Handler: e.forwarder, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: front.ConnState}
	go e.serve(server, front)
	return s, func() (time.Duration, *observer.ObservedLogs) {
		begun := time.Now()
		s.stops.Store(begun.UnixNano())
		e.stop(server, front)
		return time.Since(begun), log
	}
}

const plainRequest = "GET / HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n\r\n"

func postRequest(more string) string {
	return "POST / HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\n" + more + "Content-Length: 4\r\n\r\n"
}

// Each request that callers send in full around a planned stop must be answered,
// and the stop must end soon after the last answer, whatever other connections are
// open.
func TestStopUnderLoad(t *testing.T) {
	s, stop := startStopping(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i := range 40 {
		c := &caller{stopping: s}
		callers.Go(func() {
			defer c.close()
			for again := true; again && ctx.Err() == nil; {
				switch i % 5 {
				case 0:
					again = c.request(0, plainRequest)
				case 1: // pauses between its requests
					again = c.request(0, plainRequest)
					time.Sleep(rand.N(700 * time.Millisecond))
				case 2: // a new connection for each request
					again = c.request(0, plainRequest)
					c.close()
				case 3:
					again = c.request(rand.N(150*time.Millisecond), postRequest(""), "ab", "cd")
				case 4:
					again = c.request(rand.N(150*time.Millisecond), postRequest("Expect: 100-continue\r\n"), "abcd")
				}
			}
		})
	}
	// These hold connections that carry no request.
	for _, part := range []string{"", "GET / HT", plainRequest + "GET / HT"} {
		for _, delay := range []time.Duration{0, time.Second, 2 * time.Second} {
			callers.Go(func() {
				time.Sleep(delay)
				c, err := net.DialTimeout("tcp", s.address, time.Second)
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, part)
				_ = c.SetReadDeadline(time.Now().Add(3 * stopGrace))
				_, _ = io.Copy(io.Discard, c) // until the server closes it
			})
		}
	}
	time.Sleep(time.Second)
	took, log := stop()
	cancel()
	callers.Wait()
	t.Logf("%d requests served, stopped after %v", s.served.Load(), took)
	for _, entry := range log.FilterMessage("requests aborted at the end of the grace period").All() {
		t.Errorf("requests aborted: %v", entry.ContextMap())
	}
	if s.served.Load() < 500 {
		t.Errorf("got %d requests served, want at least 500", s.served.Load())
	}
}

// A stop with nothing in flight must not wait for connections without a request.
func TestStopWithoutRequests(t *testing.T) {
	s, stop := startStopping(t)
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	took, log := stop()
	if want := drainDelay + 500*time.Millisecond; took > want || log.Len() > 0 {
		t.Errorf("stopped after %v, want at most %v; got %d warnings, want none", took, want, log.Len())
	}
}
