package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/forwarder"
	"github.com/papayapond/papayapond/internal/regulator"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/spender"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

var headers = forwarder.Headers{
	Attempt: "X-Id", Resumes: "X-Resumes", Deadline: "X-Deadline", Signature: "X-Sign", Refused: "X-Refused", Limit: "X-Limit", Leaving: "X-Leaving", Target: "X-To", Account: "X-Account",
	Usage: "X-Usage", Parts: "X-Parts", Priority: "X-Rank", Reserved: []string{"X-Owned"},
}

// fixture is a forwarder with fake targets.
type fixture struct {
	t       *testing.T
	front   *httptest.Server
	spender *spender.Spender
	// callers is not the default transport, whose idle connections each
	// httptest.Server closes at its end, those to other servers too.
	callers *http.Transport

	forwarder *forwarder.Forwarder
	balancer  *balancer.Balancer
	exchanger *exchanger.Exchanger
	listings  []*wire.Listing
	rules     ruleset.Config

	mu       sync.Mutex
	received []*http.Request
	silence  time.Duration // outage of the core instances, as seen by the spender
}

// handler handles the n-th request of a target, starting at 1, and reports
// whether to keep the connection.
type handler func(n int, w io.Writer, r *http.Request) (keep bool)

// newFixture starts a target for each handler, named a, b, and so on.
func newFixture(t *testing.T, scripts ...handler) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*forwarder.Config) {}, scripts...)
}

// newFixtureWith is like newFixture, with a modified forwarder configuration.
func newFixtureWith(t *testing.T, change func(*forwarder.Config), scripts ...handler) *fixture {
	t.Helper()
	f := &fixture{t: t, callers: &http.Transport{}}
	f.spender = spender.New(spender.Config{CoresUnreachable: func() bool { return f.silence > time.Second }})
	limits := regulator.New(regulator.Config{})
	b := balancer.New(balancer.Config{Zone: "z", Admits: limits.Admits, Take: limits.Take})
	for i, s := range scripts {
		// Only the first target is local, so that it is chosen first.
		zone := "z"
		if i > 0 {
			zone = fmt.Sprint("z", i)
		}
		f.listings = append(f.listings, &wire.Listing{Id: string(rune('a' + i)), Born: 1, Pool: "p", Address: f.target(s), Zone: zone})
	}
	b.SetTargets(f.listings)
	cfg := forwarder.Config{
		Headers: headers, Balancer: b, Exchanger: exchanger.New(exchanger.Config{EchoHeader: headers.Attempt}), Spender: f.spender,
		Regulator: limits, RetryRatio: 0.2, MinRetries: 20, RetryWindow: 10 * time.Second, CoreSilence: func() time.Duration { return 0 },
	}
	change(&cfg)
	f.forwarder, f.balancer, f.exchanger = forwarder.New(cfg), cfg.Balancer, cfg.Exchanger
	tokens := int64(1000)
	base := route.Route{Host: "h", Timeout: 2 * time.Second, FirstByteObjective: 200 * time.Millisecond, EventGapObjective: 100 * time.Millisecond, MaxAttempts: 2, Split: []route.Share{{Pool: "p", Weight: 1}}}
	with := func(prefix string, kind route.Kind, resume bool) route.Route {
		r := base
		r.Name, r.Prefix, r.Kind, r.Resume = prefix, prefix, kind, resume
		return r
	}
	three := with("/resume3/", route.Stream, true)
	three.MaxAttempts = 3
	long := three.WithTimeout(10 * time.Second)
	long.Name, long.Prefix = "/long3/", "/long3/"
	f.rules = ruleset.Config{
		Version: 1, Pools: []pool.Pool{pool.Pool{Name: "p"}.WithEngine(pool.Engine{Batch: 4, CacheTokens: 100000, TokensPerEvent: 5})},
		Routes:   []route.Route{with("/once/", route.Single, false), with("/again/", route.Idempotent, false), with("/resume/", route.Stream, true), with("/stream/", route.Stream, false), three, with("/long/", route.Stream, true).WithTimeout(10 * time.Second), long},
		Accounts: []prepaid.Prepaid{{Name: "shop", Keys: []string{"key"}, Tokens: &tokens}},
	}
	f.setRules(f.rules)
	f.spender.UpdateLimits([]*wire.Limit{{Account: "shop", Limit: tokens, Lock: tokens, Total: tokens}}, 1)
	f.front = httptest.NewServer(f.forwarder)
	t.Cleanup(f.front.Close)
	t.Cleanup(f.callers.CloseIdleConnections)
	return f
}

// setRules activates a ruleset.
func (f *fixture) setRules(c ruleset.Config) {
	f.t.Helper()
	rules, err := ruleset.New(c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.forwarder.SetRuleset(rules)
}

// target starts a target and returns its address.
func (f *fixture) target(s handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	count := 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					r.Body = io.NopCloser(strings.NewReader(string(body)))
					f.mu.Lock()
					f.received = append(f.received, r)
					f.mu.Unlock()
					mu.Lock()
					count++
					n := count
					mu.Unlock()
					if !s(n, c, r) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// requests returns the requests received by all targets.
func (f *fixture) requests() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// dial opens a connection to the forwarder and writes to it.
func (f *fixture) dial(text string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// response is the status and header of a response.
type response struct {
	StatusCode int
	Header     http.Header
}

// post sends a request and returns the response, its body and any read error.
func (f *fixture) post(path string, change func(*http.Request)) (response, string, error) {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, f.front.URL+path, strings.NewReader("question"))
	if err != nil {
		f.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Authorization", "Bearer key")
	r.Header.Set(headers.Attempt, "id1")
	r.Header.Set(headers.Usage, "10,50")
	if change != nil {
		change(r)
	}
	a, err := f.callers.RoundTrip(r)
	if err != nil {
		return response{}, "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return response{a.StatusCode, a.Header}, string(body), err
}

func respond(status int, extra, body string) handler {
	return func(_ int, w io.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, headers.Attempt, r.Header.Get(headers.Attempt), extra, len(body), body)
		return true
	}
}

const signed = "X-Sign: s\r\n"

// events returns a handler that streams numbered events. If torn, the stream
// breaks off inside the next event.
func events(sign string, from, to int, torn bool) handler {
	return func(_ int, w io.Writer, r *http.Request) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nX-Sign: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headers.Attempt, r.Header.Get(headers.Attempt), sign)
		for i := from; i <= to; i++ {
			e := event(i)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e)
		}
		if torn {
			_, _ = io.WriteString(w, "5\r\nid: 9\r\n")
			return false
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
		return true
	}
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", i) }

func stream(n int) string {
	s := ""
	for i := 1; i <= n; i++ {
		s += event(i)
	}
	return s
}

// closeConnection closes the connection without a response.
func closeConnection(int, io.Writer, *http.Request) bool { return false }

// A request that a target may have run must not be retried unless the route
// allows it. A response of the forwarder must not carry a target's signature.
func TestRetryOnlyIfSafe(t *testing.T) {
	refuse := respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", "")
	unsigned := respond(http.StatusOK, "", "forged")
	for _, test := range []struct {
		name, path string
		first      handler
		status     int
		sent       int
	}{
		{"refused", "/once/", refuse, 200, 2},
		{"refused stream", "/stream/", refuse, 200, 2},
		{"lost", "/once/", closeConnection, 502, 1},
		{"connection lost, repeatable", "/again/", closeConnection, 200, 2},
		{"stream connection lost", "/stream/", closeConnection, 502, 1},
		{"resumable stream connection lost", "/resume/", closeConnection, 200, 2},
		{"error", "/once/", respond(500, signed, "sorry"), 500, 1},
		{"error, repeatable", "/again/", respond(500, signed, "sorry"), 200, 2},
		{"missing signature", "/once/", unsigned, 502, 1},
		{"missing signature, repeatable", "/again/", unsigned, 200, 2},
		{"misdirected", "/once/", respond(http.StatusMisdirectedRequest, "", ""), 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.first, respond(200, signed, "answer"))
			a, body, err := f.post(test.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			if a.StatusCode != test.status || len(f.requests()) != test.sent {
				t.Errorf("got status %d, %d sent, body %q, want %d and %d", a.StatusCode, len(f.requests()), body, test.status, test.sent)
			}
			if own := a.StatusCode == http.StatusBadGateway || a.StatusCode == http.StatusServiceUnavailable; own && a.Header.Get(headers.Signature) != "" {
				t.Error("response of the forwarder has a target signature")
			}
		})
	}
}

// An interrupted stream must resume after its last complete event under the
// header of its first target. If it can't be resumed, the caller must see an
// incomplete response.
func TestResumeStream(t *testing.T) {
	f := newFixture(t, events("first", 1, 3, true), func(n int, w io.Writer, r *http.Request) bool {
		if got, want := r.Header.Get("Last-Event-Id"), "3"; got != want {
			t.Errorf("resumed after event %q, want %q", got, want)
		}
		return events("second", 4, 6, false)(n, w, r)
	})
	a, body, err := f.post("/resume/", nil)
	if err != nil || body != stream(6) || a.Header.Get(headers.Signature) != "first" {
		t.Errorf("got %q, signature %q and %v, want events 1 to 6 of the first target", body, a.Header.Get(headers.Signature), err)
	}
	f = newFixture(t, events("first", 1, 3, true), events("second", 4, 6, false))
	if _, body, err := f.post("/stream/", nil); err == nil || len(f.requests()) != 1 {
		t.Errorf("non-resumable stream: got %q, %d requests and no error, want a truncated response", body, len(f.requests()))
	}
}

// A resumable stream must move to another target if its target stalls, before
// callers give it up after 2 s, but not after a silence that a sound target may have.
func TestStalledTarget(t *testing.T) {
	stalled := func(int, io.Writer, *http.Request) bool {
		time.Sleep(5 * time.Second)
		return false
	}
	f := newFixture(t, stalled, events("second", 1, 2, false))
	started := time.Now()
	_, body, err := f.post("/resume/", nil)
	if took := time.Since(started); err != nil || body != stream(2) || took < 1200*time.Millisecond || took > 2*time.Second {
		t.Errorf("got %q and %v after %v, want the events of the second target after 1.2 s to 2 s", body, err, took)
	}
}

// Targets must receive the request unmodified, except that callers can't forge
// the account, the target or other reserved headers.
func TestRequestToTarget(t *testing.T) {
	f := newFixture(t, respond(200, signed, "answer"))
	a, _, err := f.post("/again/%2F..//x?q=%20", func(r *http.Request) {
		r.Header.Set(headers.Account, "other")
		r.Header.Set(headers.Target, "other")
		r.Header.Set("X-Owned", "1")
		r.Header.Set("X-Other", "kept")
		r.Header.Set("Connection", "X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set(headers.Deadline, "700")
	})
	if err != nil || a.StatusCode != http.StatusOK {
		t.Fatalf("got %v and %v", a, err)
	}
	r := f.requests()[0]
	body, _ := io.ReadAll(r.Body)
	if r.RequestURI != "/again/%2F..//x?q=%20" || r.Host != "h" || string(body) != "question" {
		t.Errorf("got %s, host %s and body %q", r.RequestURI, r.Host, body)
	}
	for name, want := range map[string]string{headers.Account: "shop", headers.Target: "a", "X-Owned": "", "X-Hop": "", "X-Other": "kept", "Authorization": "", headers.Attempt: "id1"} {
		if got := r.Header.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	if got := r.Header.Get(headers.Deadline); len(got) != 3 || got > "700" {
		t.Errorf("deadline header: got %s ms, want less than 700", got)
	}
}

// Each request must be charged for the tokens it used, and nothing if no target
// ran it.
func TestTokensUsed(t *testing.T) {
	for _, test := range []struct {
		name, path string
		first      handler
		want       int64
	}{
		{"events", "/stream/", events("s", 1, 4, false), 10 + 4*5},
		{"at most the reservation", "/stream/", events("s", 1, 40, false), 10 + 50},
		{"lost", "/once/", closeConnection, 10},
		{"refused", "/once/", respond(http.StatusServiceUnavailable, "X-Refused: 1\r\n", ""), 0},
	} {
		f := newFixture(t, test.first)
		if _, _, err := f.post(test.path, nil); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		deadline := time.Now().Add(time.Second)
		for f.spender.Declare()[0].Used != test.want && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		if got := f.spender.Declare()[0].Used; got != test.want {
			t.Errorf("%s: got %d tokens, want %d", test.name, got, test.want)
		}
	}
}

// Requests without a route or a valid key must be rejected without contacting a
// target.
func TestRejections(t *testing.T) {
	f := newFixture(t, respond(200, signed, "answer"))
	for _, test := range []struct {
		name, path string
		change     func(*http.Request)
		want       int
	}{
		{"no route", "/other/", nil, 404},
		{"unknown key", "/once/", func(r *http.Request) { r.Header.Set("Authorization", "Bearer x") }, 401},
		{"no key", "/once/", func(r *http.Request) { r.Header.Del("Authorization") }, 401},
	} {
		a, _, err := f.post(test.path, test.change)
		if err != nil || a.StatusCode != test.want || len(f.requests()) > 0 {
			t.Errorf("%s: got %v, %v and %d sent, want %d", test.name, a, err, len(f.requests()), test.want)
		}
	}
}

// If the caller disconnects, its target must notice within 500 ms.
func TestCallerDisconnects(t *testing.T) {
	noticed := make(chan time.Duration, 1)
	f := newFixture(t, func(_ int, w io.Writer, _ *http.Request) bool {
		started := time.Now()
		c := w.(net.Conn)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, _ = c.Read(make([]byte, 1))
		noticed <- time.Since(started)
		return false
	})
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, "GET /stream/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nX-Id: i\r\n\r\n")
	time.Sleep(100 * time.Millisecond)
	_ = c.Close()
	if got := <-noticed; got > 500*time.Millisecond {
		t.Errorf("target noticed the disconnect after %v, want at most 500ms", got)
	}
}

// logged returns the log entries whose field has the given value, formatted as
// the message and some of its fields.
func logged(logs *observer.ObservedLogs, field, value string) []string {
	var lines []string
	for _, e := range logs.All() {
		m := e.ContextMap()
		if fmt.Sprint(m[field]) != value {
			continue
		}
		line := e.Message
		for _, name := range []string{"outcome", "status", "target", "reason", "error"} {
			if v, ok := m[name]; ok {
				line += fmt.Sprint(" ", name, "=", v)
			}
		}
		lines = append(lines, line)
	}
	return lines
}

// The log must lead from the id of a failed request to the cause, following the
// steps of docs/OPERATIONS.md: first the entries of the request, then those of
// the target or core instances they name.
func TestExplainFailure(t *testing.T) {
	for _, test := range []struct {
		name    string
		target  handler
		usage   string
		silence time.Duration
		want    []string
	}{
		{
			"quota exhausted", respond(200, signed, "answer"), "5000,50", 0,
			[]string{"outcome=refused", "status=402", "5050 tokens are needed", "the prepaid budget is too small"},
		},
		{
			"target failure", closeConnection, "10,50", 0,
			[]string{"attempt failed target=a", "outcome=refused status=502", "EOF"},
		},
		{
			"partitioned from the core instances", respond(200, signed, "answer"), "5000,50", 3 * time.Second,
			[]string{"outcome=refused status=503", "the limit leaves 1000", "core instances unreachable for 3s"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			core, logs := observer.New(zap.InfoLevel)
			f := newFixtureWith(t, func(c *forwarder.Config) {
				c.Logger = zap.New(core)
				c.CoreSilence = func() time.Duration { return test.silence }
			}, test.target)
			f.silence = test.silence
			go func() {
				// The leader has no more quota to grant.
				for range 50 {
					time.Sleep(10 * time.Millisecond)
					f.spender.UpdateLimits([]*wire.Limit{{Account: "shop", Limit: 1000, Lock: 1000, Total: 1000}}, 1)
				}
			}()
			if _, _, err := f.post("/once/", func(r *http.Request) { r.Header.Set(headers.Usage, test.usage) }); err != nil {
				t.Fatal(err)
			}
			got := strings.Join(logged(logs, "request", "id1"), "\n")
			for _, want := range test.want {
				if !strings.Contains(got, want) {
					t.Errorf("got %s\nwant it to contain %q", got, want)
				}
			}
		})
	}
}
