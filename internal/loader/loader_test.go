package loader

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/engine"
	"github.com/papayapond/papayapond/internal/orderer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func load(t *testing.T, cfg Config) *Result {
	t.Helper()
	cfg.Clients, cfg.Models, cfg.Service, cfg.Tag = []string{"acme:k:3", "berg:l:1"}, []string{"small"}, "orders", "t"
	cfg.Rate, cfg.Time, cfg.Timeout, cfg.Open, cfg.Seed = 200, 10*time.Second, 5*time.Second, 100, 7
	l, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	r, err := l.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Each fault of an engine must show as the violation that it is; a loader that
// misses one would report a broken promise as kept.
func TestRecognisesAnswers(t *testing.T) {
	for _, test := range []struct{ rule, mix, violation, refusal string }{
		{"", "chat=1,tag=1", "", ""},
		{"swap,times=2", "chat=1", foreignAnswer, ""},
		{"swap,times=2", "tag=1", foreignAnswer, ""},
		{"truncate,times=1,value=3", "chat=1", alteredAnswer, ""},
		{"truncate,times=1", "tag=1", "", "broken run=maybe"},
		{"reset-after,times=1,value=3", "chat=1", "", "broken run=maybe"},
	} {
		t.Run(test.rule+" "+test.mix, func(t *testing.T) {
			cfg := engine.Config{Models: []string{"small"}, Slots: 16, Chunk: 2048, Decode: time.Millisecond, Blocks: 100, Logger: zap.NewNop()}
			if test.rule != "" {
				cfg.Faults = []string{test.rule}
			}
			e, err := engine.New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { e.Run(ctx) })
			defer wg.Wait()
			defer stop()
			r := load(t, Config{Entries: []string{serve(t, e)}, Mix: test.mix, Count: 20})
			if r.Sent != 20 || r.Broken() != (test.violation != "") || test.violation != "" && r.Violations[test.violation] == 0 {
				t.Errorf("violations: got %v %v, want %q", r.Violations, r.Examples, test.violation)
			}
			if test.refusal != "" && r.Refusals[test.refusal] != 1 {
				t.Errorf("refusals: got %v, want one %q", r.Refusals, test.refusal)
			}
		})
	}
}

// entry is an entry instance that passes calls to an order service in a given
// way.
func entry(o http.Handler, pass func(w http.ResponseWriter, r *http.Request, next http.Handler)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = strings.TrimPrefix(r.URL.Path, "/v1/services/orders")
		pass(w, r, o)
	})
}

func refuse(w http.ResponseWriter, status int, body string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// An order that runs twice, or in spite of "not run", must be found, also if
// each single answer looks right.
func TestRecognisesOrders(t *testing.T) {
	const no = `{"error":{"code":"forbidden","message":"","run":"no"}}`
	for _, test := range []struct {
		name, violation string
		pass            func(w http.ResponseWriter, r *http.Request, next http.Handler)
	}{
		{"once", "", func(w http.ResponseWriter, r *http.Request, next http.Handler) { next.ServeHTTP(w, r) }},
		{"refused", "", func(w http.ResponseWriter, _ *http.Request, _ http.Handler) { refuse(w, http.StatusForbidden, no) }},
		{"ran though refused", ghostOrder, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			refuse(w, http.StatusForbidden, no)
		}},
		{"twice", duplicateOrder, func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			body, _ := io.ReadAll(r.Body)
			for _, to := range []http.ResponseWriter{w, httptest.NewRecorder()} {
				r.Body = io.NopCloser(strings.NewReader(string(body)))
				next.ServeHTTP(to, r)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			o, err := orderer.New(orderer.Config{Logger: zap.NewNop()})
			if err != nil {
				t.Fatal(err)
			}
			r := load(t, Config{Entries: []string{serve(t, entry(o, test.pass))}, Mix: "order=1", Count: 10, Counts: []string{serve(t, o)}})
			if got := r.Violations[test.violation]; test.violation == "" && r.Broken() || test.violation != "" && got != 10 {
				t.Errorf("violations: got %v, want 10 of %q", r.Violations, test.violation)
			}
		})
	}
}

// A retry with another key would be a new request, and a retry of a final
// refusal is not what an honest caller does.
func TestRetriesWithTheSameKey(t *testing.T) {
	for code, want := range map[string]int{"draining": 3, "exhausted": 1} {
		var mu sync.Mutex
		seen := map[string]int{}
		address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			seen[r.Header.Get("Idempotency-Key")]++
			mu.Unlock()
			refuse(w, http.StatusServiceUnavailable, `{"error":{"code":"`+code+`","run":"no"}}`)
		}))
		r := load(t, Config{Entries: []string{address}, Mix: "tag=1", Count: 3, Keys: true, Retries: 2})
		if len(seen) != 3 || r.Final[code+" run=no"] != 3 || r.Refusals[code+" run=no"] != 3*want {
			t.Errorf("%s: got keys %v, refusals %v, want %d attempts of each of 3 keys", code, seen, r.Refusals, want)
		}
	}
}
