package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/engine"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const readIdleTimeout = 50 * time.Millisecond

// fixture is a dispatcher in front of stand-in engines. When silence is closed,
// the first silentConns connections go silent.
type fixture struct {
	*Dispatcher
	t           *testing.T
	targets     []*wire.Target
	jobs        atomic.Int32
	silentConns atomic.Int32 // not yet dialed
	silence     chan struct{}
	retry       bool
}

func newFixture(t *testing.T, silentConns int32, configs ...engine.Config) *fixture {
	f := &fixture{t: t, silence: make(chan struct{}), retry: true}
	f.silentConns.Store(silentConns)
	for _, cfg := range configs {
		cfg.Models, cfg.Slots, cfg.Chunk, cfg.Retention, cfg.Linger = []string{"m"}, 8, 64, time.Minute, time.Second
		e, err := engine.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		go e.Run(t.Context())
		server := httptest.NewServer(e)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		f.targets = append(f.targets, &wire.Target{Name: cfg.Name, Address: server.Listener.Addr().String()})
	}
	f.Dispatcher = New(Config{
		Pick: func(_, _ string, _ []byte, allowed func(string) bool) (*wire.Target, func(), error) {
			for _, target := range f.targets {
				if allowed(target.Name) {
					return target, func() {}, nil
				}
			}
			return nil, nil, fault.Unavailable
		},
		Blocked: func([]byte) bool { return false }, Clear: func([]byte) {}, RecordCrash: func([]byte, string) {},
		AllowRetry: func() bool { return f.retry }, ReadIdleTimeout: readIdleTimeout, Dial: f.dial, Logger: zap.NewNop(),
	})
	t.Cleanup(f.Close)
	return f
}

func (f *fixture) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil || f.silentConns.Add(-1) < 0 {
		return conn, err
	}
	return &silentConn{Conn: conn, silence: f.silence, closed: make(chan struct{})}, nil
}

// silentConn is a connection that goes silent without closing.
type silentConn struct {
	net.Conn
	silence, closed chan struct{}
	closing         atomic.Bool
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.silence:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *silentConn) Write(p []byte) (int, error) {
	select {
	case <-c.silence:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

func (c *silentConn) Close() error {
	if c.closing.CompareAndSwap(false, true) {
		close(c.closed)
	}
	return c.Conn.Close()
}

// stream requests a stream of tokens and returns its content. It calls onToken
// after each token.
func (f *fixture) stream(tokens int, onToken func(n int)) (target, content string, err error) {
	body, _ := json.Marshal(map[string]any{"model": "m", "stream": true, "max_tokens": tokens, "messages": []any{map[string]string{"role": "user", "content": strings.Repeat("long ", 100)}}})
	count := 0
	job := Job{
		ID: "r" + strconv.Itoa(int(f.jobs.Add(1))), Model: "m", Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{}, Body: body,
		Idempotent: true, Allowed: func(string) bool { return true }, Progress: func() int { return count },
	}
	target, err = f.Do(f.t.Context(), job, func(_ *wire.Target, r *http.Response) (bool, error) {
		lines := bufio.NewScanner(r.Body)
		for lines.Scan() {
			data, ok := strings.CutPrefix(lines.Text(), "data: ")
			if data == "[DONE]" {
				return count > 0, nil
			}
			var chunk struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			if ok && json.Unmarshal([]byte(data), &chunk) != nil {
				f.t.Errorf("event: got %q, want JSON", data)
			}
			if len(chunk.Choices) > 0 {
				content += chunk.Choices[0].Delta.Content
				count++
				onToken(count)
			}
		}
		if lines.Err() != nil {
			return count > 0, lines.Err()
		}
		return count > 0, io.ErrUnexpectedEOF
	})
	if err == nil && count != tokens {
		f.t.Errorf("content events: got %d, want %d", count, tokens)
	}
	return target, content, err
}

// load is the state that an engine reports.
type load struct {
	Running int
	Counts  struct{ Started int }
}

func (f *fixture) load(i int) (l load) {
	r, err := http.Get("http://" + f.targets[i].Address + "/v1/load")
	if err != nil {
		f.t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		f.t.Fatal(err)
	}
	return l
}

// started returns the number of runs that an engine has started.
func (f *fixture) started(i int) int { return f.load(i).Counts.Started }

func ignoreToken(int) {}

// A stream whose connection goes silent must resume on a new connection, without
// losing or repeating a token and without a second run.
func TestSilentStreamIsResumed(t *testing.T) {
	engines := []engine.Config{{Name: "e0", Decode: 2 * time.Millisecond}}
	_, want, err := newFixture(t, 0, engines...).stream(60, ignoreToken)
	if err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, 1, engines...)
	_, got, err := f.stream(60, func(n int) {
		if n == 10 {
			close(f.silence)
		}
	})
	if err != nil || got != want {
		t.Errorf("got %q, %v; want %q", got, err, want)
	}
	if got, want := f.started(0), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// A long prefill on a working connection must not be interrupted, retried or
// moved to another target.
func TestLongPrefill(t *testing.T) {
	f := newFixture(t, 0, engine.Config{Name: "e0", PrefillPerToken: 10 * time.Millisecond}, engine.Config{Name: "e1"})
	start := time.Now()
	target, _, err := f.stream(3, ignoreToken)
	if took := time.Since(start); err != nil || target != "e0" || took < 10*readIdleTimeout {
		t.Errorf("got %s, %v after %v; want a response from e0 after a long prefill", target, err, took)
	}
	if got := f.started(0) + f.started(1); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// A target that can't resume streams responds with 404. If that were taken to
// mean that it doesn't know the request, its long prefills would be interrupted.
func TestTargetWithoutResume(t *testing.T) {
	f := newFixture(t, 0, engine.Config{Name: "e0"})
	calls := atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/chat/completions" {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, `{"detail":"Not Found"}`)
			return
		}
		calls.Add(1)
		time.Sleep(12 * readIdleTimeout)
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"late\"}}]}\n\ndata: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	f.targets[0].Address = server.Listener.Addr().String()
	if _, content, err := f.stream(1, ignoreToken); err != nil || content != "late" || calls.Load() != 1 {
		t.Errorf("got %q, %v after %d calls; want late after 1 call", content, err, calls.Load())
	}
}

// A request lost on a silent connection must go to another target, and the idle
// connections to the first one must not be reused.
func TestRequestLostOnSilentConnection(t *testing.T) {
	f := newFixture(t, 2, engine.Config{Name: "e0", Decode: 5 * time.Millisecond}, engine.Config{Name: "e1"})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if target, _, err := f.stream(8, ignoreToken); err != nil || target != "e0" {
				t.Errorf("first requests: got %s, %v; want e0", target, err)
			}
		})
	}
	wg.Wait()
	time.Sleep(readIdleTimeout) // both connections are idle
	close(f.silence)
	if target, _, err := f.stream(2, ignoreToken); err != nil || target != "e1" {
		t.Errorf("lost request: got %s, %v; want e1", target, err)
	}
	start := time.Now()
	if target, _, err := f.stream(2, ignoreToken); err != nil || target != "e0" || time.Since(start) > headerIdleFactor*readIdleTimeout {
		t.Errorf("next request: got %s, %v after %v; want e0 at once", target, err, time.Since(start))
	}
}

// A target that responds on no connection must lose its requests: an idempotent
// one is retried elsewhere, another one ends as uncertain.
func TestUnreachableTarget(t *testing.T) {
	f := newFixture(t, 100, engine.Config{Name: "e0"})
	close(f.silence)
	start := time.Now()
	_, _, err := f.stream(2, ignoreToken)
	if got, want := fault.Of(err), fault.Uncertain; got != want || time.Since(start) > 5*time.Second {
		t.Errorf("no other target: got %v after %v, want %v", err, time.Since(start), want)
	}
	job := Job{ID: "o", Service: "s", Method: http.MethodPost, Path: "/orders", Header: http.Header{}, Body: []byte("{}"), Allowed: func(string) bool { return true }}
	_, err = f.Do(t.Context(), job, func(*wire.Target, *http.Response) (bool, error) { return false, nil })
	if got, want := fault.Of(err), fault.Uncertain; got != want {
		t.Errorf("order: got %v, want %v", err, want)
	}
}

// A request must not be retried once the retry budget is exhausted.
func TestRetryBudget(t *testing.T) {
	f := newFixture(t, 0, engine.Config{Name: "e0", Faults: []string{"status,value=503"}}, engine.Config{Name: "e1"})
	f.retry = false
	if _, _, err := f.stream(2, ignoreToken); fault.Of(err) != fault.Overloaded {
		t.Errorf("got %v, want overloaded", err)
	}
	f.retry = true
	if target, _, err := f.stream(2, ignoreToken); err != nil || target != "e1" {
		t.Errorf("with budget: got %s, %v; want e1", target, err)
	}
}

// An attempt abandoned before its body was read must not be sent later, since
// its caller is told that it did not run.
func TestAbandonedAttemptNotSent(t *testing.T) {
	f := newFixture(t, 0, engine.Config{Name: "e0"})
	ctx, cancel := context.WithCancel(t.Context())
	f.cfg.Dial = nil
	f.pool(f.targets[0].Address).transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		cancel()
		time.Sleep(readIdleTimeout)
		return net.Dial("tcp", f.targets[0].Address)
	}
	job := Job{ID: "r", Model: "m", Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{}, Body: []byte("{}"), Idempotent: true, Allowed: func(string) bool { return true }}
	_, err := f.Do(ctx, job, func(*wire.Target, *http.Response) (bool, error) { return false, nil })
	time.Sleep(3 * readIdleTimeout)
	if got, want := fault.Of(err), fault.Expired; got != want || f.started(0) != 0 {
		t.Errorf("got %v and %d runs, want %v and none", err, f.started(0), want)
	}
}

// A non-streaming response on a silent connection must be abandoned once the
// target has finished it, and the request retried on another target.
func TestNonStreamLostOnSilentConnection(t *testing.T) {
	f := newFixture(t, 1, engine.Config{Name: "e0", Decode: 10 * time.Millisecond}, engine.Config{Name: "e1"})
	body := []byte(`{"model":"m","max_tokens":40,"messages":[{"role":"user","content":"long"}]}`)
	job := Job{ID: "w", Model: "m", Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{}, Body: body, Idempotent: true, Allowed: func(string) bool { return true }}
	time.AfterFunc(2*readIdleTimeout, func() { close(f.silence) })
	target, err := f.Do(t.Context(), job, func(_ *wire.Target, r *http.Response) (bool, error) {
		_, err := io.ReadAll(r.Body)
		return false, err
	})
	if err != nil || target != "e1" {
		t.Errorf("got %s, %v; want e1", target, err)
	}
}

// A run that hangs in a live target must end as interrupted and be cancelled
// there, or it would occupy a slot in the batch forever.
func TestRunWithoutProgress(t *testing.T) {
	f := newFixture(t, 0, engine.Config{Name: "e0", Faults: []string{"hang,value=2"}}, engine.Config{Name: "e1"})
	if _, _, err := f.stream(5, ignoreToken); fault.Of(err) != fault.Interrupted {
		t.Errorf("got %v, want interrupted", err)
	}
	for range 10 { // shorter than the engine waits for a reader
		if f.load(0).Running == 0 {
			return
		}
		time.Sleep(readIdleTimeout)
	}
	t.Error("the run is still in the batch")
}

// A transport that still reads the body of an abandoned attempt must get
// nothing, whether or not it honors its context.
func TestReadAfterStop(t *testing.T) {
	g := &abortableBody{r: bytes.NewReader([]byte("order"))}
	if g.stop() {
		t.Error("unread body: got started, want not")
	}
	if n, err := g.Read(make([]byte, 8)); n != 0 || err == nil {
		t.Errorf("read after stop: got %d bytes, %v; want an error", n, err)
	}
}
