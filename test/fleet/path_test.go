package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/sampler"
)

// The whole path must serve a JSON answer, a stream and a call that may not
// be repeated, and show each on the statement once.
func TestPath(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-a", "a", []int{0})
	f.orders("order-a", "a", []int{0})
	for i := range f.names {
		f.routes(i)
	}

	whole := f.chat(0, "Draft a cut sheet for forty pairs.", 8, false, "sheet-1")
	if whole.status != http.StatusOK {
		t.Fatalf("JSON answer: got %d %s, want 200", whole.status, whole.body)
	}
	var parsed struct {
		Usage struct {
			Prompt int64 `json:"prompt_tokens"`
			Output int64 `json:"completion_tokens"`
		}
	}
	if err := json.Unmarshal([]byte(whole.body), &parsed); err != nil {
		t.Fatal(err)
	}
	if got, want := parsed.Usage.Output, int64(8); got != want {
		t.Errorf("output tokens: got %d, want %d", got, want)
	}
	again := f.chat(1, "Draft a cut sheet for forty pairs.", 8, false, "sheet-1")
	if again.body != whole.body {
		t.Errorf("retry through another instance: got %s, want the first answer", again.body)
	}

	stream := f.chat(1, "Are the brown ones in stock?", 6, true, "")
	if !strings.HasSuffix(stream.body, "data: [DONE]\n\n") || !strings.Contains(stream.body, `"usage"`) {
		t.Errorf("stream: got %q, want usage and [DONE] at the end", stream.body)
	}

	order := f.order(2, "o-1", "order-1")
	if order.status >= 300 {
		t.Errorf("order: got %d %s, want success", order.status, order.body)
	}

	f.eventually("show three bills", func() error {
		s, err := f.statement(0)
		if err != nil {
			return err
		}
		if len(s.Bills) != 3 || s.Requests != 3 {
			return fmt.Errorf("got %d bills and %d requests, want 3", len(s.Bills), s.Requests)
		}
		return nil
	})
}

// Each wrong call must be refused with its own code and the truth that it did
// not run.
func TestRefusals(t *testing.T) {
	f := start(t, []int{1}, 500, false)
	f.engine("engine-a", "a", []int{0})
	f.orders("order-a", "a", []int{0})
	f.routes(0)
	chat := func(model string, tokens int) string {
		return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, model, tokens)
	}
	for _, test := range []struct {
		name, method, path, body, key string
		status                        int
		code                          string
	}{
		{"no key", "POST", "/v1/chat/completions", chat(sampler.Model, 4), "", 401, "unauthorized"},
		{"bad key", "POST", "/v1/chat/completions", chat(sampler.Model, 4), "wrong", 401, "unauthorized"},
		{"unknown model", "POST", "/v1/chat/completions", chat("other", 4), sampler.WondimuKey, 404, "missing"},
		{"not JSON", "POST", "/v1/chat/completions", "{", sampler.WondimuKey, 400, "malformed"},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, sampler.WondimuKey, 400, "malformed"},
		{"over budget", "POST", "/v1/chat/completions", chat(sampler.Model, 5000), sampler.WondimuKey, 402, "exhausted"},
		{"unknown service", "GET", "/v1/services/other/x", "", sampler.WondimuKey, 404, "missing"},
		{"order without identity", "POST", "/v1/services/orders/orders", `{"order":"o-2"}`, sampler.WondimuKey, 400, "malformed"},
		{"foreign target", "POST", "/v1/targets", `{"name":"engine-x","zone":"a","address":"127.0.0.1:1","state":"ready"}`, "wrong", 401, "unauthorized"},
		{"target of another group", "POST", "/v1/targets", `{"name":"engine-x","zone":"a","address":"127.0.0.1:1","state":"ready"}`, sampler.OrderKey, 401, "unauthorized"},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := f.call(0, test.method, test.path, test.body, "", test.key)
			code, run := a.code()
			if a.status != test.status || code != test.code || run != "no" {
				t.Errorf("got %d %s run=%s (%s), want %d %s run=no", a.status, code, run, a.body, test.status, test.code)
			}
		})
	}
}
