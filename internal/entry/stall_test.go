package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayapond/papayapond/internal/forwarder"
	"github.com/papayapond/papayapond/internal/meter"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/route"
)

// readiness returns the status of the readiness check.
func readiness(e *Entry) int {
	w := httptest.NewRecorder()
	e.readinessHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, e.cfg.ReadinessPath, nil))
	return w.Code
}

// overdueMetric returns the gauge of the metrics page, in seconds.
func overdueMetric(t *testing.T, e *Entry) float64 {
	t.Helper()
	w := httptest.NewRecorder()
	m := meter.New(meter.Config{Overdue: func() float64 { return e.Overdue().Seconds() }})
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	match := regexp.MustCompile(`(?m)^papayapond_route_overdue_seconds (\S+)$`).FindStringSubmatch(w.Body.String())
	if match == nil {
		t.Fatal("no gauge papayapond_route_overdue_seconds")
	}
	v, err := strconv.ParseFloat(match[1], 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// A request that is blocked past its deadline must take the instance out of
// service and show in the metrics and the log. A deadlock held 41 callers while
// nothing told the instance from a busy one.
func TestBlockedRequest(t *testing.T) {
	release := make(chan struct{})
	core, logs := observer.New(zap.InfoLevel)
	e := New(Config{
		Name: "e1", Zone: "z", ReadinessPath: "/ready", Seeds: func() []string { return nil }, Logger: zap.New(core),
		Observe: func(forwarder.Report) { <-release },
	})
	rules, err := ruleset.New(ruleset.Config{
		Version: 1, Open: true, Pools: []pool.Pool{{Name: "p"}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Idempotent, Timeout: 50 * time.Millisecond, MaxAttempts: 1, Split: []route.Share{{Pool: "p", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	e.applyRuleset(rules)
	go e.watchStalls(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("question"))
		r.Host = "h"
		e.forwarder.ServeHTTP(httptest.NewRecorder(), r)
	}()
	waitFor(t, "the request is blocked", func() bool { return e.isBlocked() })
	waitFor(t, "the log line", func() bool { return logs.FilterMessage("requests blocked past their deadlines").Len() == 1 })
	line := logs.FilterMessage("requests blocked past their deadlines").All()[0].ContextMap()
	if got, want := line["overdue"], int64(1); got != want {
		t.Errorf("overdue in the log: got %v, want %v", got, want)
	}
	if stacks := line["stacks"].(string); !strings.Contains(stacks, "forwarder.(*Forwarder).ServeHTTP") {
		t.Errorf("the stacks in the log lack the blocked request: %s", stacks)
	}
	if got, want := readiness(e), http.StatusServiceUnavailable; got != want {
		t.Errorf("readiness while blocked: got %d, want %d", got, want)
	}
	if got := overdueMetric(t, e); got < minStallTimeout.Seconds() {
		t.Errorf("gauge while blocked: got %v s, want at least %v", got, minStallTimeout)
	}
	close(release)
	<-ended
	waitFor(t, "the end of the stall in the log", func() bool { return logs.FilterMessage("requests no longer blocked").Len() == 1 })
	if got, want := overdueMetric(t, e), 0.0; got != want {
		t.Errorf("gauge after the end: got %v s, want %v", got, want)
	}
}

// A caller that is slow to send its body must not count as a blocked request:
// it could take instances out of service.
func TestSlowCallerIsNotBlocked(t *testing.T) {
	e := New(Config{Name: "e1", Zone: "z", ReadinessPath: "/ready", Seeds: func() []string { return nil }, Logger: zap.NewNop(), Observe: func(forwarder.Report) {}})
	rules, err := ruleset.New(ruleset.Config{
		Version: 1, Open: true, Pools: []pool.Pool{{Name: "p"}},
		Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Idempotent, Timeout: time.Millisecond, MaxAttempts: 1, Split: []route.Share{{Pool: "p", Weight: 1}}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	e.applyRuleset(rules)
	body, send := io.Pipe()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r := httptest.NewRequest(http.MethodPost, "/", body)
		r.Host = "h"
		e.forwarder.ServeHTTP(httptest.NewRecorder(), r)
	}()
	waitFor(t, "the request is in flight", func() bool { return e.InFlight() == 1 })
	time.Sleep(50 * time.Millisecond)
	if got, want := e.Overdue(), time.Duration(0); got != want {
		t.Errorf("overdue while the caller sends its body: got %v, want %v", got, want)
	}
	_ = send.Close() // closing a pipe doesn't fail
	<-ended
}

// An instance without blocked requests must stay in service.
func TestReadyWithTargets(t *testing.T) {
	e := New(Config{Name: "e1", Zone: "z", ReadinessPath: "/ready", Seeds: func() []string { return nil }, Logger: zap.NewNop()})
	e.balancer.SetTargets([]*wire.Listing{{Id: "t", Pool: "p", Address: "127.0.0.1:1"}})
	if e.isBlocked() {
		t.Error("an idle instance counts as blocked")
	}
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
