package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayapond/papayapond/internal/authenticator"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/sampler"
	"github.com/papayapond/papayapond/internal/wire"
)

// prompt and badKey must not appear in logs or errors.
const (
	prompt = "forty-pairs-of-brown-oxfords"
	badKey = "key-that-nobody-has"
	chat   = "/v1/chat/completions"
	orders = "/v1/services/orders/orders"
)

// fixture is a gateway with a dispatcher, one target and fake dependencies.
type fixture struct {
	gateway *Gateway
	cfg     Config
	logs    *observer.ObservedLogs
	last    RequestMetrics
	// respond handles the requests to the target.
	respond http.HandlerFunc
}

func newFixture(t *testing.T, adjust func(*Config)) *fixture {
	t.Helper()
	f := &fixture{}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.respond(w, r) }))
	t.Cleanup(target.Close)
	now := time.Now()
	c, err := configuration.Parse(sampler.New(sampler.Config{Zones: []int{1}, Budget: 1000, Start: now.Add(-time.Hour), End: now.Add(time.Hour)}).Configuration())
	if err != nil {
		t.Fatal(err)
	}
	keys := authenticator.New(authenticator.Config{})
	keys.Apply(c)
	core, logs := observer.New(zap.DebugLevel)
	logger := zap.New(core)
	d := dispatcher.New(dispatcher.Config{
		Pick: func(_, _ string, _ []byte, allowed func(string) bool) (*wire.Target, func(), error) {
			if !allowed("engine-1") {
				return nil, nil, eris.Wrap(fault.Unavailable, "no other target")
			}
			return &wire.Target{Name: "engine-1", Address: strings.TrimPrefix(target.URL, "http://")}, func() {}, nil
		},
		Blocked: func([]byte) bool { return false }, RecordCrash: func([]byte, string) {}, Clear: func([]byte) {}, Logger: logger,
	})
	t.Cleanup(d.Close)
	f.cfg = Config{
		Zone: "a", Current: func() *configuration.Configuration { return c }, Phase: func() string { return "open" }, Skew: func() time.Duration { return 0 },
		Account: keys.Account, Group: keys.Group,
		Reserve: func(context.Context, string, int64) (uint64, error) { return 1, nil },
		Settle: func(context.Context, uint64, *wire.Bill) (wire.Outcome, error) {
			return wire.Outcome_OUTCOME_BILLED, nil
		},
		Cancel:  func(uint64) {},
		Find:    func(context.Context, *wire.FindRequest) (*wire.FindReply, error) { return &wire.FindReply{}, nil },
		Propose: func(context.Context, *wire.Command) (*wire.ProposeReply, error) { return nil, eris.New("no quorum") },
		Do:      d.Do,
		Admit: func(context.Context, string, string, string, int64, string) (_, _ func(), err error) {
			return func() {}, func() {}, nil
		},
		ReadyTargets: func(string, string, string) []*wire.Target { return nil },
		Announce:     func(context.Context, *wire.Target) error { return nil },
		Self:         func() *wire.Holding { return &wire.Holding{Instance: "a1", Incarnation: 1} },
		Observe:      func(o RequestMetrics) { f.last = o },
		Logger:       logger,
	}
	if adjust != nil {
		adjust(&f.cfg)
	}
	f.logs, f.gateway = logs, New(f.cfg)
	return f
}

// post sends a request and returns its response.
func (f *fixture) post(path, key, idempotencyKey, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	w := httptest.NewRecorder()
	f.gateway.ServeHTTP(w, r)
	return w
}

func body(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, model, stream, prompt)
}

// respond returns a handler that responds with a status and a text.
func respond(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text))
	}
}

// failures are requests that fail at each stage, in processing order.
var failures = []struct {
	name, path, key, idempotencyKey, body string
	adjust                                func(*Config)
	answer                                http.HandlerFunc
	code                                  string
}{
	{"key", chat, badKey, "", body(sampler.Model, false), nil, nil, "unauthorized"},
	{"body", chat, sampler.WondimuKey, "", `{"messages":"` + prompt + `"}`, nil, nil, "malformed"},
	{"syntax", chat, sampler.WondimuKey, "", `{"messages":[` + prompt, nil, nil, "malformed"},
	{"model", chat, sampler.WondimuKey, "", body("other", false), nil, nil, "missing"},
	{"identity", chat, sampler.WondimuKey, "id-1", body(sampler.Model, false), func(c *Config) {
		c.Find = func(context.Context, *wire.FindRequest) (*wire.FindReply, error) {
			return &wire.FindReply{Conflict: true}, nil
		}
	}, nil, "conflict"},
	{"budget", chat, sampler.WondimuKey, "", body(sampler.Model, false), func(c *Config) {
		c.Reserve = func(context.Context, string, int64) (uint64, error) { return 0, eris.Wrap(fault.Exhausted, "holder") }
	}, nil, "exhausted"},
	{"queue", chat, sampler.WondimuKey, "", body(sampler.Model, false), func(c *Config) {
		c.Admit = func(context.Context, string, string, string, int64, string) (_, _ func(), err error) {
			return nil, nil, eris.Wrap(fault.Overloaded, "queue")
		}
	}, nil, "overloaded"},
	{"target refuses", chat, sampler.WondimuKey, "", body(sampler.Model, false), nil, respond(400, "can't read: "+prompt), "malformed"},
	{"target fails", chat, sampler.WondimuKey, "", body(sampler.Model, false), nil, respond(500, prompt), "uncertain"},
	{"response is no JSON", chat, sampler.WondimuKey, "", body(sampler.Model, false), nil, respond(200, prompt), "uncertain"},
	{"event is no JSON", chat, sampler.WondimuKey, "", body(sampler.Model, true), nil, respond(200, "data: "+prompt+"\n\n"), "uncertain"},
	{"error event", chat, sampler.WondimuKey, "", body(sampler.Model, true), nil, respond(200, `data: {"error":{"message":"`+prompt+`"}}`+"\n\n"), "uncertain"},
	{"settle", chat, sampler.WondimuKey, "", body(sampler.Model, false), func(c *Config) {
		c.Settle = func(context.Context, uint64, *wire.Bill) (wire.Outcome, error) {
			return 0, eris.Wrap(fault.Unsettled, "ledger")
		}
	}, respond(200, `{"usage":{"prompt_tokens":1,"completion_tokens":1},"choices":[{"finish_reason":"stop"}]}`), "unsettled"},
	{"claim", orders, sampler.WondimuKey, "id-2", `{"order":"` + prompt + `"}`, nil, nil, "isolated"},
	{"call", "/v1/services/orders/stock/1", sampler.WondimuKey, "", prompt, nil, respond(200, ""), "malformed"},
}

// Keys and prompts must not appear in log lines, which many can read, or in
// errors, which callers pass on.
func TestNoSecretsInLogsAndErrors(t *testing.T) {
	for _, test := range failures {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, test.adjust)
			f.respond = test.answer
			w := f.post(test.path, test.key, test.idempotencyKey, test.body)
			if got := w.Body.String(); !strings.Contains(got, `"code":"`+test.code+`"`) {
				t.Errorf("got response %s, want code %s", got, test.code)
			}
			if got, want := f.last.Code, test.code; got != want {
				t.Errorf("observed code: got %q, want %q", got, want)
			}
			text := w.Body.String()
			for _, e := range f.logs.All() {
				text += fmt.Sprintln(e.Message, e.ContextMap())
			}
			for _, secret := range []string{prompt, badKey, sampler.WondimuKey} {
				if strings.Contains(text, secret) {
					t.Errorf("got %q in an error or a log line, want none:\n%s", secret, text)
				}
			}
			if f.logs.Len() == 0 {
				t.Error("got no log lines, want some")
			}
		})
	}
}

// All lines of a request must carry the ID that the caller knows, and the
// observed class must be one of the known labels.
func TestTrace(t *testing.T) {
	f := newFixture(t, nil)
	f.respond = respond(200, `{"usage":{"prompt_tokens":1,"completion_tokens":1},"choices":[{"finish_reason":"stop"}]}`)
	r := httptest.NewRequest(http.MethodPost, chat, strings.NewReader(body(sampler.Model, false)))
	r.Header.Set("Authorization", "Bearer "+sampler.WondimuKey)
	r.Header.Set("Idempotency-Key", "id-3")
	r.Header.Set("X-Class", "Tag")
	f.gateway.ServeHTTP(httptest.NewRecorder(), r)
	var got []string
	for _, e := range f.logs.All() {
		if e.ContextMap()["request"] == "id-3" {
			got = append(got, e.Message)
		}
	}
	want := "[request received tokens reserved attempt started bill settled request ended]"
	if fmt.Sprint(got) != want {
		t.Errorf("log lines: got %v, want %s", got, want)
	}
	if got, want := f.last.Class, "tag"; got != want {
		t.Errorf("observed class: got %q, want %q", got, want)
	}
}
