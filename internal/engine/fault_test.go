package engine

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/completion"
)

// The router must work with stale load figures, so announcements must not contain
// the current load.
func TestReportLags(t *testing.T) {
	var clock atomic.Int64 // milliseconds
	e, url := newTestEngine(t, Config{Slots: 2, Lag: time.Second, EventLag: 2 * time.Second, Blocks: 8, Now: func() time.Time { return time.UnixMilli(clock.Load()) }})
	e.Report()
	clock.Store(500)
	go post(t.Context(), url+"/v1/chat/completions", chatBody("r", 0, 5, false))
	waitFor(t, e, "queued", func() bool { return e.waiting.size() == 1 })
	e.mu.Lock()
	e.cache.store([]uint64{1, 2})
	e.mu.Unlock()
	for _, test := range []struct {
		after           time.Duration
		waiting, events int
	}{{0, 0, 0}, {time.Second, 1, 0}, {2 * time.Second, 1, 2}, {3 * time.Second, 1, 0}} {
		clock.Store(500 + test.after.Milliseconds())
		got := e.Report()
		if int(got.Waiting) != test.waiting || len(got.Events) != test.events {
			t.Errorf("after %v: got %d waiting, %d events, want %d, %d", test.after, got.Waiting, len(got.Events), test.waiting, test.events)
		}
	}
}

// Each fault must be visible to callers, or tests that inject it would prove
// nothing.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		rule    string
		stream  bool
		status  int // 0 is a broken connection
		content string
	}{
		{"status,value=502", false, http.StatusBadGateway, "injected"},
		{"reset-before", true, 0, ""},
		{"reset-after,value=2", true, 0, ""},
		{"truncate,value=2", false, 0, ""},
		{"truncate,value=2", true, http.StatusOK, "data: "},
		{"crash,marker=hello", true, http.StatusOK, ""},
	} {
		t.Run(test.rule, func(t *testing.T) {
			crashed := false
			e, url := newTestEngine(t, Config{Slots: 2, Decode: time.Millisecond, Faults: []string{test.rule}, Crash: func() { crashed = true }})
			runEngine(t, e)
			status, text := post(t.Context(), url+"/v1/chat/completions", chatBody("r", 0, 9, test.stream))
			if status != test.status || status != 0 && !strings.Contains(text, test.content) || strings.Contains(text, "[DONE]") {
				t.Errorf("got %d %s, want %d containing %q", status, text, test.status, test.content)
			}
			if got, want := crashed, strings.HasPrefix(test.rule, "crash"); got != want {
				t.Errorf("crashed: got %v, want %v", got, want)
			}
		})
	}
}

func TestSwap(t *testing.T) {
	e, url := newTestEngine(t, Config{Slots: 2, Decode: time.Millisecond, Faults: []string{"swap"}})
	runEngine(t, e)
	var wg sync.WaitGroup
	for _, id := range []string{"one", "two"} {
		wg.Go(func() {
			_, text := post(t.Context(), url+"/v1/chat/completions", chatBody(id, 0, 1, false))
			_, content, _ := strings.Cut(text, `"content":"`)
			if completion.BelongsTo(id, content) || !strings.Contains(text, "request") {
				t.Errorf("%s: got its own completion, want that of the other request: %s", id, text)
			}
		})
	}
	wg.Wait()
}
