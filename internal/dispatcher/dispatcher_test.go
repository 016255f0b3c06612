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

const quiet = 50 * time.Millisecond

// bench is a dispatcher before stand-in engines. The first connections, as many
// as muted says, go silent when the channel silent is closed.
type bench struct {
	*Dispatcher
	t       *testing.T
	targets []*wire.Target
	jobs    atomic.Int32
	muted   atomic.Int32 // number of connections that go silent
	silent  chan struct{}
	retry   bool
}

func newBench(t *testing.T, muted int32, configs ...engine.Config) *bench {
	b := &bench{t: t, silent: make(chan struct{}), retry: true}
	b.muted.Store(muted)
	for _, cfg := range configs {
		cfg.Models, cfg.Slots, cfg.Chunk, cfg.Retention, cfg.Linger = []string{"m"}, 8, 64, time.Minute, time.Second
		e, err := engine.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		go e.Run(t.Context())
		server := httptest.NewServer(e)
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		b.targets = append(b.targets, &wire.Target{Name: cfg.Name, Address: server.Listener.Addr().String()})
	}
	b.Dispatcher = New(Config{
		Pick: func(_, _ string, _ []byte, allowed func(string) bool) (*wire.Target, func(), error) {
			for _, target := range b.targets {
				if allowed(target.Name) {
					return target, func() {}, nil
				}
			}
			return nil, nil, fault.Unavailable
		},
		Blocked: func([]byte) bool { return false }, Clear: func([]byte) {}, RecordCrash: func([]byte, string) {},
		AllowRetry: func() bool { return b.retry }, ReadIdleTimeout: quiet, Dial: b.dial, Logger: zap.NewNop(),
	})
	t.Cleanup(b.Close)
	return b
}

func (b *bench) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil || b.muted.Add(-1) < 0 {
		return conn, err
	}
	return &mute{Conn: conn, silent: b.silent, closed: make(chan struct{})}, nil
}

// mute is a connection that goes silent without being closed.
type mute struct {
	net.Conn
	silent, closed chan struct{}
	once           atomic.Bool
}

func (m *mute) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	select {
	case <-m.silent:
		<-m.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (m *mute) Write(p []byte) (int, error) {
	select {
	case <-m.silent:
		return len(p), nil
	default:
		return m.Conn.Write(p)
	}
}

func (m *mute) Close() error {
	if m.once.CompareAndSwap(false, true) {
		close(m.closed)
	}
	return m.Conn.Close()
}

// stream sends a request for a stream of tokens and returns its content. Each
// is called after each token.
func (b *bench) stream(tokens int, each func(n int)) (target, content string, err error) {
	body, _ := json.Marshal(map[string]any{"model": "m", "stream": true, "max_tokens": tokens, "messages": []any{map[string]string{"role": "user", "content": strings.Repeat("long ", 100)}}})
	count := 0
	job := Job{
		ID: "r" + strconv.Itoa(int(b.jobs.Add(1))), Model: "m", Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{}, Body: body,
		Idempotent: true, Allowed: func(string) bool { return true }, Progress: func() int { return count },
	}
	target, err = b.Do(b.t.Context(), job, func(_ *wire.Target, r *http.Response) (bool, error) {
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
				b.t.Errorf("event: got %q, want JSON", data)
			}
			if len(chunk.Choices) > 0 {
				content += chunk.Choices[0].Delta.Content
				count++
				each(count)
			}
		}
		if lines.Err() != nil {
			return count > 0, lines.Err()
		}
		return count > 0, io.ErrUnexpectedEOF
	})
	if err == nil && count != tokens {
		b.t.Errorf("content events: got %d, want %d", count, tokens)
	}
	return target, content, err
}

// load is the state that an engine shows.
type load struct {
	Running int
	Counts  struct{ Started int }
}

func (b *bench) load(i int) (l load) {
	r, err := http.Get("http://" + b.targets[i].Address + "/v1/load")
	if err != nil {
		b.t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		b.t.Fatal(err)
	}
	return l
}

// started returns the number of runs that an engine has begun.
func (b *bench) started(i int) int { return b.load(i).Counts.Started }

func nothing(int) {}

// A stream whose connection goes silent must go on over a new connection,
// without a lost or repeated token and without a second run.
func TestSilentStream(t *testing.T) {
	engines := []engine.Config{{Name: "e0", Decode: 2 * time.Millisecond}}
	_, want, err := newBench(t, 0, engines...).stream(60, nothing)
	if err != nil {
		t.Fatal(err)
	}
	b := newBench(t, 1, engines...)
	_, got, err := b.stream(60, func(n int) {
		if n == 10 {
			close(b.silent)
		}
	})
	if err != nil || got != want {
		t.Errorf("got %q, %v; want %q", got, err, want)
	}
	if got, want := b.started(0), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// A long prefill on a good connection must not be cut, sent again or moved.
func TestLongPrefill(t *testing.T) {
	b := newBench(t, 0, engine.Config{Name: "e0", PrefillPerToken: 10 * time.Millisecond}, engine.Config{Name: "e1"})
	start := time.Now()
	target, _, err := b.stream(3, nothing)
	if took := time.Since(start); err != nil || target != "e0" || took < 10*quiet {
		t.Errorf("got %s, %v after %v; want an answer of e0 after a long prefill", target, err, took)
	}
	if got := b.started(0) + b.started(1); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// A target that can't resume streams and answers 404 must not be taken for one
// that doesn't know the request, or its long prefills would be cut.
func TestNoResumption(t *testing.T) {
	b := newBench(t, 0, engine.Config{Name: "e0"})
	calls := atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/chat/completions" {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusNotFound)
			_, _ = io.WriteString(w, `{"detail":"Not Found"}`)
			return
		}
		calls.Add(1)
		time.Sleep(12 * quiet)
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"late\"}}]}\n\ndata: [DONE]\n\n")
	}))
	t.Cleanup(server.Close)
	b.targets[0].Address = server.Listener.Addr().String()
	if _, content, err := b.stream(1, nothing); err != nil || content != "late" || calls.Load() != 1 {
		t.Errorf("got %q, %v after %d calls; want a late answer to one call", content, err, calls.Load())
	}
}

// A request that was swallowed by a silent connection must go to another
// target, and the kept connections to the first one must not be used again.
func TestSwallowedRequest(t *testing.T) {
	b := newBench(t, 2, engine.Config{Name: "e0", Decode: 5 * time.Millisecond}, engine.Config{Name: "e1"})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if target, _, err := b.stream(8, nothing); err != nil || target != "e0" {
				t.Errorf("first requests: got %s, %v; want e0", target, err)
			}
		})
	}
	wg.Wait()
	time.Sleep(quiet) // both connections are kept
	close(b.silent)
	if target, _, err := b.stream(2, nothing); err != nil || target != "e1" {
		t.Errorf("swallowed request: got %s, %v; want e1", target, err)
	}
	start := time.Now()
	if target, _, err := b.stream(2, nothing); err != nil || target != "e0" || time.Since(start) > quietFirst*quiet {
		t.Errorf("next request: got %s, %v after %v; want e0 at once", target, err, time.Since(start))
	}
}

// A target that answers on no connection must lose its requests: a repeatable
// one runs elsewhere, another one ends as uncertain.
func TestDeadTarget(t *testing.T) {
	b := newBench(t, 100, engine.Config{Name: "e0"})
	close(b.silent)
	start := time.Now()
	_, _, err := b.stream(2, nothing)
	if got, want := fault.Of(err), fault.Uncertain; got != want || time.Since(start) > 5*time.Second {
		t.Errorf("no other target: got %v after %v, want %v", err, time.Since(start), want)
	}
	job := Job{ID: "o", Service: "s", Method: http.MethodPost, Path: "/orders", Header: http.Header{}, Body: []byte("{}"), Allowed: func(string) bool { return true }}
	_, err = b.Do(t.Context(), job, func(*wire.Target, *http.Response) (bool, error) { return false, nil })
	if got, want := fault.Of(err), fault.Uncertain; got != want {
		t.Errorf("order: got %v, want %v", err, want)
	}
}

// A spent retry budget must end a request instead of sending it again.
func TestRetryBudget(t *testing.T) {
	b := newBench(t, 0, engine.Config{Name: "e0", Faults: []string{"status,value=503"}}, engine.Config{Name: "e1"})
	b.retry = false
	if _, _, err := b.stream(2, nothing); fault.Of(err) != fault.Overloaded {
		t.Errorf("got %v, want overloaded", err)
	}
	b.retry = true
	if target, _, err := b.stream(2, nothing); err != nil || target != "e1" {
		t.Errorf("with budget: got %s, %v; want e1", target, err)
	}
}

// An attempt that was given up before its body was read must not be sent
// later, since its caller is told that it did not run.
func TestGate(t *testing.T) {
	b := newBench(t, 0, engine.Config{Name: "e0"})
	ctx, cancel := context.WithCancel(t.Context())
	b.cfg.Dial = nil
	b.pool(b.targets[0].Address).transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		cancel()
		time.Sleep(quiet)
		return net.Dial("tcp", b.targets[0].Address)
	}
	job := Job{ID: "r", Model: "m", Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{}, Body: []byte("{}"), Idempotent: true, Allowed: func(string) bool { return true }}
	_, err := b.Do(ctx, job, func(*wire.Target, *http.Response) (bool, error) { return false, nil })
	time.Sleep(3 * quiet)
	if got, want := fault.Of(err), fault.Expired; got != want || b.started(0) != 0 {
		t.Errorf("got %v and %d runs, want %v and none", err, b.started(0), want)
	}
}

// An answer that comes as a whole over a connection that goes silent must be
// given up once the target has finished it, and run on another target.
func TestSilentWhole(t *testing.T) {
	b := newBench(t, 1, engine.Config{Name: "e0", Decode: 10 * time.Millisecond}, engine.Config{Name: "e1"})
	body := []byte(`{"model":"m","max_tokens":40,"messages":[{"role":"user","content":"long"}]}`)
	job := Job{ID: "w", Model: "m", Method: http.MethodPost, Path: "/v1/chat/completions", Header: http.Header{}, Body: body, Idempotent: true, Allowed: func(string) bool { return true }}
	time.AfterFunc(2*quiet, func() { close(b.silent) })
	target, err := b.Do(t.Context(), job, func(_ *wire.Target, r *http.Response) (bool, error) {
		_, err := io.ReadAll(r.Body)
		return false, err
	})
	if err != nil || target != "e1" {
		t.Errorf("got %s, %v; want e1", target, err)
	}
}

// A run that hangs inside a live target must end with the truth and be
// cancelled there, or it would hold its place in the batch for good.
func TestHangingRun(t *testing.T) {
	b := newBench(t, 0, engine.Config{Name: "e0", Faults: []string{"hang,value=2"}}, engine.Config{Name: "e1"})
	if _, _, err := b.stream(5, nothing); fault.Of(err) != fault.Interrupted {
		t.Errorf("got %v, want interrupted", err)
	}
	for range 10 { // less than the engine waits for a reader
		if b.load(0).Running == 0 {
			return
		}
		time.Sleep(quiet)
	}
	t.Error("the run is still in the batch")
}

// A transport that still reads the body of an attempt that was given up must
// get nothing, whatever it does with its context.
func TestStoppedGate(t *testing.T) {
	g := &gate{r: bytes.NewReader([]byte("order"))}
	if g.stop() {
		t.Error("unread body: got started, want not")
	}
	if n, err := g.Read(make([]byte, 8)); n != 0 || err == nil {
		t.Errorf("read after stop: got %d bytes, %v; want an error", n, err)
	}
}
