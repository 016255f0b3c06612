package fleet

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/papayapond/papayapond/internal/sampler"
)

// echo is a target that keeps the last identity that it was sent, by path.
type echo struct {
	mu  sync.Mutex
	ids map[string]string
}

func (e *echo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ids[r.URL.Path] = r.Header.Get("X-Request-Id")
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, `{"choices":[{"index":0,"finish_reason":"stop","message":{"content":"ok"}}],"usage":{"prompt_tokens":3,"completion_tokens":2}}`)
}

// A request must be found by the identity that its caller got in the logs of
// the entry instance, the holder and a control member, and by the attempt in
// the header that its target got. No line may have a key or a prompt.
func TestFollowRequest(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	e := &echo{ids: map[string]string{}}
	server := httptest.NewServer(e)
	defer server.Close()
	for i := range f.names {
		f.level(i, "debug")
	}
	for name, more := range map[string][2]string{"engine-x": {sampler.EngineKey, `"models":["papaya-small"]`}, "order-x": {sampler.OrderKey, `"services":["orders"]`}} {
		body := fmt.Sprintf(`{"name":%q,"zone":"a","address":%q,"state":"ready","incarnation":1,%s}`, name, server.Listener.Addr(), more[1])
		if a := f.call(1, http.MethodPost, "/v1/targets", body, "", more[0]); a.status >= 300 {
			t.Fatalf("announcement of %s: got %d %s", name, a.status, a.body)
		}
	}
	f.routes(1)
	const prompt, body = "forty pairs of brown oxfords", "order-of-the-secret-kind"
	for _, test := range []struct {
		name, path, entry, holder, control string
		send                               func() answer
	}{
		{"unkeyed completion", "/v1/chat/completions", "request received|tokens reserved|attempt started|bill settled|request ended", "bill stored", "",
			func() answer { return f.chat(1, prompt, 4, false, "") }},
		{"keyed completion", "/v1/chat/completions", "request received|tokens reserved|attempt started|bill settled|request ended", "identity looked up|bill stored", "",
			func() answer { return f.chat(1, prompt, 4, false, "follow-1") }},
		{"order", "/orders", "request received|tokens reserved|claim proposed|attempt started|bill settled|request ended", "identity looked up|bill stored", "claim committed|outcome committed",
			func() answer {
				return f.call(1, http.MethodPost, "/v1/services/orders/orders", body, "follow-2", sampler.WondimuKey)
			}},
	} {
		a := test.send()
		identity := a.header.Get("X-Request-Id")
		if a.status != http.StatusOK || identity == "" {
			t.Errorf("%s: got %d %s with identity %q, want 200", test.name, a.status, a.body, identity)
			continue
		}
		field := fmt.Sprintf(`"request":%q`, identity)
		entry := strings.Join(f.lines("a2", field), "\n")
		// An instance draws from a holder of another zone while its own doesn't
		// answer, and bills there what it has drawn there.
		control := strings.Join(slices.Concat(f.lines("a1", field), f.lines("b1", field), f.lines("c1", field)), "\n")
		holder := control
		for want, lines := range map[string]string{test.entry: entry, test.holder: holder, test.control: control, fmt.Sprintf(`"attempt":%q`, e.ids[test.path]): entry} {
			for text := range strings.SplitSeq(want, "|") {
				if !strings.Contains(lines, text) {
					t.Errorf("%s: got no %q in\n%s", test.name, text, lines)
				}
			}
		}
	}
	for _, name := range f.names {
		for _, secret := range []string{prompt, body, sampler.WondimuKey, sampler.EngineKey, sampler.OrderKey, sampler.OperatorKey} {
			if got := f.lines(name, secret); len(got) > 0 {
				t.Errorf("%s: got %q in\n%s", name, secret, got)
			}
		}
	}
}
