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

// prompt and badKey must not appear anywhere.
const (
	prompt = "forty-pairs-of-brown-oxfords"
	badKey = "key-that-nobody-has"
	chat   = "/v1/chat/completions"
	orders = "/v1/services/orders/orders"
)

// bench is a gateway with a dispatcher and one target, over fakes.
type bench struct {
	gateway *Gateway
	cfg     Config
	logs    *observer.ObservedLogs
	last    RequestMetrics
	// answer is the handler of the target.
	answer http.HandlerFunc
}

func newBench(t *testing.T, adjust func(*Config)) *bench {
	t.Helper()
	b := &bench{}
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.answer(w, r) }))
	t.Cleanup(target.Close)
	now := time.Now()
	c, err := configuration.Parse(sampler.New(sampler.Config{Zones: []int{1}, Budget: 1000, Start: now.Add(-time.Hour), End: now.Add(time.Hour)}).Configuration())
	if err != nil {
		t.Fatal(err)
	}
	keys := authenticator.New(authenticator.Config{})
	keys.Use(c)
	core, logs := observer.New(zap.DebugLevel)
	logger := zap.New(core)
	send := dispatcher.New(dispatcher.Config{
		Pick: func(_, _ string, _ []byte, allowed func(string) bool) (*wire.Target, func(), error) {
			if !allowed("engine-1") {
				return nil, nil, eris.Wrap(fault.Unavailable, "no other target")
			}
			return &wire.Target{Name: "engine-1", Address: strings.TrimPrefix(target.URL, "http://")}, func() {}, nil
		},
		Blocked: func([]byte) bool { return false }, RecordCrash: func([]byte, string) {}, Clear: func([]byte) {}, Logger: logger,
	})
	t.Cleanup(send.Close)
	b.cfg = Config{
		Zone: "a", Current: func() *configuration.Configuration { return c }, Phase: func() string { return "open" }, Skew: func() time.Duration { return 0 },
		Account: keys.Account, Group: keys.Group,
		Reserve: func(context.Context, string, int64) (uint64, error) { return 1, nil },
		Settle: func(context.Context, uint64, *wire.Bill) (wire.Outcome, error) {
			return wire.Outcome_OUTCOME_BILLED, nil
		},
		Cancel:  func(uint64) {},
		Find:    func(context.Context, *wire.FindRequest) (*wire.FindReply, error) { return &wire.FindReply{}, nil },
		Propose: func(context.Context, *wire.Command) (*wire.ProposeReply, error) { return nil, eris.New("no quorum") },
		Do:      send.Do,
		Admit: func(context.Context, string, string, string, int64, string) (_, _ func(), err error) {
			return func() {}, func() {}, nil
		},
		ReadyTargets: func(string, string, string) []*wire.Target { return nil },
		Announce:     func(context.Context, *wire.Target) error { return nil },
		Self:         func() *wire.Holding { return &wire.Holding{Instance: "a1", Incarnation: 1} },
		Observe:      func(o RequestMetrics) { b.last = o },
		Logger:       logger,
	}
	if adjust != nil {
		adjust(&b.cfg)
	}
	b.logs, b.gateway = logs, New(b.cfg)
	return b
}

// post sends a request with the prompt and returns its answer.
func (b *bench) post(path, key, identity, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	if identity != "" {
		r.Header.Set("Idempotency-Key", identity)
	}
	w := httptest.NewRecorder()
	b.gateway.ServeHTTP(w, r)
	return w
}

func body(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`, model, stream, prompt)
}

// reply returns a target that answers with a status and a text.
func reply(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text))
	}
}

// failures are requests that fail at each stage, in the order of the stages.
var failures = []struct {
	name, path, key, identity, body string
	adjust                          func(*Config)
	answer                          http.HandlerFunc
	code                            string
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
	{"target refuses", chat, sampler.WondimuKey, "", body(sampler.Model, false), nil, reply(400, "can't read: "+prompt), "malformed"},
	{"target fails", chat, sampler.WondimuKey, "", body(sampler.Model, false), nil, reply(500, prompt), "uncertain"},
	{"answer is no JSON", chat, sampler.WondimuKey, "", body(sampler.Model, false), nil, reply(200, prompt), "uncertain"},
	{"event is no JSON", chat, sampler.WondimuKey, "", body(sampler.Model, true), nil, reply(200, "data: "+prompt+"\n\n"), "uncertain"},
	{"error event", chat, sampler.WondimuKey, "", body(sampler.Model, true), nil, reply(200, `data: {"error":{"message":"`+prompt+`"}}`+"\n\n"), "uncertain"},
	{"settle", chat, sampler.WondimuKey, "", body(sampler.Model, false), func(c *Config) {
		c.Settle = func(context.Context, uint64, *wire.Bill) (wire.Outcome, error) {
			return 0, eris.Wrap(fault.Unsettled, "ledger")
		}
	}, reply(200, `{"usage":{"prompt_tokens":1,"completion_tokens":1},"choices":[{"finish_reason":"stop"}]}`), "unsettled"},
	{"claim", orders, sampler.WondimuKey, "id-2", `{"order":"` + prompt + `"}`, nil, nil, "isolated"},
	{"call", "/v1/services/orders/stock/1", sampler.WondimuKey, "", prompt, nil, reply(200, ""), "malformed"},
}

// It guards against keys and prompts in log lines, which many can read, and
// in errors, which callers pass on.
func TestSecretsStayOut(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			b := newBench(t, f.adjust)
			b.answer = f.answer
			w := b.post(f.path, f.key, f.identity, f.body)
			if got := w.Body.String(); !strings.Contains(got, `"code":"`+f.code+`"`) {
				t.Errorf("got answer %s, want code %s", got, f.code)
			}
			if got, want := b.last.Code, f.code; got != want {
				t.Errorf("got code %q observed, want %q", got, want)
			}
			text := w.Body.String()
			for _, e := range b.logs.All() {
				text += fmt.Sprintln(e.Message, e.ContextMap())
			}
			for _, secret := range []string{prompt, badKey, sampler.WondimuKey} {
				if strings.Contains(text, secret) {
					t.Errorf("%q is in an error or a log line:\n%s", secret, text)
				}
			}
			if b.logs.Len() == 0 {
				t.Error("got no log lines")
			}
		})
	}
}

// It guards against lines that can't be found with the identity that the
// caller knows, and against a class that isn't one of the known labels.
func TestTrace(t *testing.T) {
	b := newBench(t, nil)
	b.answer = reply(200, `{"usage":{"prompt_tokens":1,"completion_tokens":1},"choices":[{"finish_reason":"stop"}]}`)
	r := httptest.NewRequest(http.MethodPost, chat, strings.NewReader(body(sampler.Model, false)))
	r.Header.Set("Authorization", "Bearer "+sampler.WondimuKey)
	r.Header.Set("Idempotency-Key", "id-3")
	r.Header.Set("X-Class", "Tag")
	b.gateway.ServeHTTP(httptest.NewRecorder(), r)
	var got []string
	for _, e := range b.logs.All() {
		if e.ContextMap()["request"] == "id-3" {
			got = append(got, e.Message)
		}
	}
	want := "[Request arrived. Tokens reserved. attempt started Bill settled. Request ended.]"
	if fmt.Sprint(got) != want {
		t.Errorf("got lines %v, want %s", got, want)
	}
	if got, want := b.last.Class, "tag"; got != want {
		t.Errorf("got class %q, want %q", got, want)
	}
}
