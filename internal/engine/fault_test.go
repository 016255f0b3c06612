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

// Announcements that show the present load would hide that the router must
// work with old figures.
func TestReportLags(t *testing.T) {
	var clock atomic.Int64 // milliseconds
	e, url := start(t, Config{Slots: 2, Lag: time.Second, EventLag: 2 * time.Second, Blocks: 8, Now: func() time.Time { return time.UnixMilli(clock.Load()) }})
	e.Report()
	clock.Store(500)
	go post(t.Context(), url+"/v1/chat/completions", ask("r", 0, 5, false))
	await(t, e, "queued", func() bool { return e.waiting.size() == 1 })
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

// A fault that isn't visible to a caller would let a test pass without it.
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
			e, url := start(t, Config{Slots: 2, Decode: time.Millisecond, Faults: []string{test.rule}, Crash: func() { crashed = true }})
			execute(t, e)
			status, text := post(t.Context(), url+"/v1/chat/completions", ask("r", 0, 9, test.stream))
			if status != test.status || status != 0 && !strings.Contains(text, test.content) || strings.Contains(text, "[DONE]") {
				t.Errorf("got %d %s, want %d with %q", status, text, test.status, test.content)
			}
			if got, want := crashed, strings.HasPrefix(test.rule, "crash"); got != want {
				t.Errorf("crashed: got %v, want %v", got, want)
			}
		})
	}
}

func TestSwap(t *testing.T) {
	e, url := start(t, Config{Slots: 2, Decode: time.Millisecond, Faults: []string{"swap"}})
	execute(t, e)
	var wg sync.WaitGroup
	for _, id := range []string{"one", "two"} {
		wg.Go(func() {
			_, text := post(t.Context(), url+"/v1/chat/completions", ask(id, 0, 1, false))
			_, content, _ := strings.Cut(text, `"content":"`)
			if completion.BelongsTo(id, content) || !strings.Contains(text, "request") {
				t.Errorf("%s: got its own answer, want that of the other request: %s", id, text)
			}
		})
	}
	wg.Wait()
}
