package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/completion"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const hello = `[{"role":"user","content":"hello"}]`

func newTestEngine(t *testing.T, cfg Config) (*Engine, string) {
	t.Helper()
	cfg.Models, cfg.Logger = []string{"small"}, zap.NewNop()
	e, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	return e, server.URL
}

func runEngine(t *testing.T, e *Engine) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); e.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
}

func post(ctx context.Context, url, body string) (status int, text string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(answer)
}

func chatBody(id string, priority, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"small","request":%q,"priority":%d,"max_tokens":%d,"stream":%v,"messages":%s}`, id, priority, tokens, stream, hello)
}

func waitFor(t *testing.T, e *Engine, what string, ok func() bool) {
	t.Helper()
	for range 2000 {
		e.mu.Lock()
		done := ok()
		e.mu.Unlock()
		if done {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("condition not met within 2 s: %s", what)
}

// Tests of priorities in the router depend on a queue that honors them.
func TestPriorities(t *testing.T) {
	e, url := newTestEngine(t, Config{Slots: 1, Decode: 2 * time.Millisecond})
	var mu sync.Mutex
	var order []string
	var wg sync.WaitGroup
	for i, priority := range []int{2, 0, 1, 0} {
		id := fmt.Sprintf("%d-%d", priority, i)
		wg.Go(func() {
			if status, text := post(t.Context(), url+"/v1/chat/completions", chatBody(id, priority, 5, false)); status != http.StatusOK {
				t.Errorf("%s: got %d %s", id, status, text)
			}
			mu.Lock()
			defer mu.Unlock()
			order = append(order, id)
		})
		waitFor(t, e, "queued", func() bool { return e.waiting.size() == i+1 })
	}
	runEngine(t, e)
	wg.Wait()
	if want := []string{"0-1", "0-3", "1-2", "2-0"}; !slices.Equal(order, want) {
		t.Errorf("order: got %v, want %v", order, want)
	}
}

func TestCacheIsBounded(t *testing.T) {
	c := newCache(4, time.Now)
	prefix := strings.Repeat("a", 2*blockBytes)
	first := blockHashes("small", []byte(prefix+strings.Repeat("b", 2*blockBytes)))
	second := blockHashes("small", []byte(prefix+strings.Repeat("c", 2*blockBytes)))
	c.store(first)
	if got, want := c.match(second), 2; got != want {
		t.Errorf("shared blocks: got %d, want %d", got, want)
	}
	c.store(second)
	if got, want := c.order.Len(), 4; got != want {
		t.Errorf("size: got %d, want %d", got, want)
	}
	if got, want := c.match(first), 2; got != want {
		t.Errorf("cached blocks of the first prompt: got %d, want %d", got, want)
	}
	evicted := 0
	for i, ev := range c.takeEvents(time.Now()) {
		if got, want := ev.sequence, uint64(i+1); got != want {
			t.Errorf("sequence: got %d, want %d", got, want)
		}
		if ev.evicted {
			evicted++
		}
	}
	if got, want := evicted, 2; got != want {
		t.Errorf("evictions: got %d, want %d", got, want)
	}
	if got, other := blockHashes("other", []byte(prefix))[0], first[0]; got == other {
		t.Error("got the same block hash for two models, want different ones")
	}
}

// A run that continues without a caller would occupy a slot and count as unpaid
// work.
func TestCancel(t *testing.T) {
	e, url := newTestEngine(t, Config{Slots: 4, Decode: 2 * time.Millisecond})
	runEngine(t, e)
	idle := func() bool { return len(e.running) == 0 && e.waiting.size() == 0 }
	active := func() bool { return len(e.running) == 1 }
	for _, stream := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); post(ctx, url+"/v1/chat/completions", chatBody("gone", 0, 100000, stream)) }()
		waitFor(t, e, "running", active)
		cancel()
		<-done
		waitFor(t, e, "idle after the caller has disconnected", idle)
	}
	answer := make(chan string, 1)
	go func() {
		_, text := post(t.Context(), url+"/v1/chat/completions", chatBody("stop", 0, 100000, true))
		answer <- text
	}()
	waitFor(t, e, "running", active)
	if _, got := post(t.Context(), url+"/v1/cancel", `{"request":"stop"}`); !strings.Contains(got, `"cancelled":true`) {
		t.Errorf("cancel: got %s, want cancelled true", got)
	}
	if got := <-answer; strings.Contains(got, "[DONE]") || !strings.Contains(got, `"code":"cancelled"`) {
		t.Errorf("cancelled stream: got %s, want an error event and no [DONE]", got)
	}
	waitFor(t, e, "idle after cancel", idle)
}

// A resumed stream must not repeat or skip a token, which would alter the
// completion.
func TestResume(t *testing.T) {
	e, url := newTestEngine(t, Config{Slots: 4, Decode: 2 * time.Millisecond, Linger: 5 * time.Second, Retention: 5 * time.Second})
	runEngine(t, e)
	resp, err := http.Post(url+"/v1/chat/completions", "", strings.NewReader(chatBody("r", 0, 60, true)))
	if err != nil {
		t.Fatal(err)
	}
	text, chunks := contents(t, resp.Body, 7)
	if err := resp.Body.Close(); err != nil {
		t.Error(err)
	}
	resp, err = http.Get(fmt.Sprintf("%s/v1/streams/r?from=%d", url, chunks))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	rest, _ := contents(t, resp.Body, 1000)
	prompt, _, err := completion.Prompt(json.RawMessage(hello), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := completion.Check(prompt, text+rest); err != nil {
		t.Errorf("resumed after %d chunks: got error %v, want a complete completion", chunks, err)
	}
}

// contents reads up to limit content chunks of a stream.
func contents(t *testing.T, body io.Reader, limit int) (text string, chunks int) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for chunks < limit && lines.Scan() {
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			continue
		}
		text += c.Choices[0].Delta.Content
		chunks++
	}
	return text, chunks
}

func TestFence(t *testing.T) {
	for _, test := range []struct {
		ignore bool
		want   int
	}{{false, http.StatusConflict}, {true, http.StatusOK}} {
		e, url := newTestEngine(t, Config{IgnoreFence: test.ignore})
		for i, o := range []struct {
			fence, want int
		}{{5, http.StatusOK}, {5, http.StatusOK}, {4, test.want}} {
			body := fmt.Sprintf(`{"verb":"load","subject":"m%d","fence":%d}`, i, o.fence)
			if got, text := post(t.Context(), url+"/v1/orders", body); got != o.want {
				t.Errorf("ignore %v, order %d: got %d %s, want %d", test.ignore, i, got, text, o.want)
			}
		}
		if got, want := e.Report().Fencing, !test.ignore; got != want {
			t.Errorf("fencing: got %v, want %v", got, want)
		}
	}
}
