package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/completion"
	"github.com/papayapond/papayapond/internal/sampler"
)

// order places an order with an identity.
func (f *fleet) order(i int, id, identity string) answer {
	return f.call(i, http.MethodPost, "/v1/services/orders/orders", fmt.Sprintf(`{"order":%q}`, id), identity, sampler.WondimuKey)
}

// runs returns how often the order service ran an order, from its file.
func runs(t *testing.T, file, id string) int {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return strings.Count(string(text), `"`+id+`"`)
}

// An order whose target dies after it ran must not run again, whoever retries
// it and where; the caller is told that it may have run.
func TestOrderRunsOnce(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	file := filepath.Join(f.dir, "orders")
	f.orders("order-a", "a", []int{0}, "--file", file, "--fault", "crash,marker=o-1")
	f.orders("order-b", "b", []int{2}, "--file", file)
	for i := range f.names {
		f.routes(i)
	}
	if a := f.order(0, "o-0", "order-0"); a.status >= 300 {
		t.Fatalf("order: got %d %s, want success", a.status, a.body)
	}
	first := f.order(0, "o-1", "order-1")
	if code, run := first.code(); run != "maybe" {
		t.Errorf("first attempt: got %d %s run=%s, want run=maybe", first.status, code, run)
	}
	for i := range f.names {
		a := f.order(i, "o-1", "order-1")
		if code, run := a.code(); run != "maybe" {
			t.Errorf("retry through %s: got %d %s run=%s, want run=maybe", f.names[i], a.status, code, run)
		}
	}
	if got := runs(t, file, "o-1"); got != 1 {
		t.Errorf("runs of the order: got %d, want 1", got)
	}
}

// The same order sent through all instances at the same time must run once,
// and all callers that get an answer must get the same one.
func TestRacingRetries(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	file := filepath.Join(f.dir, "orders")
	f.orders("order-a", "a", []int{0}, "--file", file, "--work", "200ms")
	for i := range f.names {
		f.routes(i)
		if a := f.order(i, "o-0", "order-0"); a.status >= 300 {
			t.Fatalf("order through %s: got %d %s, want success", f.names[i], a.status, a.body)
		}
	}
	answers := make([]answer, 8)
	var group sync.WaitGroup
	for n := range answers {
		group.Go(func() { answers[n] = f.order(n%len(f.names), "o-1", "order-1") })
	}
	group.Wait()
	served := 0
	for n, a := range answers {
		if a.status < 300 {
			served++
			continue
		}
		if code, run := a.code(); run != "maybe" {
			t.Errorf("attempt %d: got %d %s run=%s, want success or run=maybe", n, a.status, code, run)
		}
	}
	if served == 0 {
		t.Error("no attempt got the answer")
	}
	if got := runs(t, file, "o-1"); got != 1 {
		t.Errorf("runs of the order: got %d, want 1", got)
	}
	f.bills(0, 2)
}

// A request that crashes its targets must be stopped after two of them,
// although its caller sends it again under new identities and through other
// instances, and an innocent request must still be served.
func TestRequestThatCrashesTargets(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	for n := range 5 {
		f.engine(fmt.Sprintf("engine-%d", n), "a", []int{0, 1}, "--fault", "crash,marker=poison")
	}
	for i := range f.names {
		f.routes(i)
	}
	for n := range 6 {
		a := f.chat(n%len(f.names), "poison", 4, false, "")
		if code, _ := a.code(); code != "poison" && code != "crashed" {
			t.Errorf("attempt %d: got %d %s, want poison or crashed", n, a.status, a.body)
		}
	}
	dead := 0
	for n := range 5 {
		if f.procs[fmt.Sprintf("engine-%d", n)].hasEnded() {
			dead++
		}
	}
	if dead > 2 {
		t.Errorf("crashed targets: got %d, want at most 2", dead)
	}
	f.eventually("serve an innocent request", func() error {
		if a := f.chat(0, "hello", 4, false, ""); a.status != http.StatusOK {
			return fmt.Errorf("got %d %s", a.status, a.body)
		}
		return nil
	})
}

// A target that says that it is leaving must finish what it has and get no
// new work after 3 seconds from any instance.
func TestLeavingTarget(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-0", "a", []int{0}, "--decode", "20ms", "--grace", "3s")
	f.routes(0)
	stream := f.later(0, 300, "")
	f.engine("engine-1", "a", []int{1})
	for i := range f.names {
		f.routes(i)
	}
	f.signal("engine-0", syscall.SIGTERM)
	time.Sleep(3 * time.Second)
	for n := range 12 {
		if a := f.chat(n%len(f.names), "hello", 4, false, fmt.Sprintf("after-%d", n)); a.status != http.StatusOK {
			t.Errorf("request %d: got %d %s", n, a.status, a.body)
		}
	}
	if a := <-stream; !strings.HasSuffix(a.body, "[DONE]\n\n") {
		t.Errorf("stream of the leaving target: got %q, want a whole one", a.body)
	}
	text, err := f.client(0).Call(t.Context(), http.MethodGet, "/v1/accounts/wondimu/statement", nil)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(string(text), `"target": "engine-0"`); got != 1 {
		t.Errorf("bills of the leaving target: got %d, want the open stream only", got)
	}
}

// Answers that an engine gives to the wrong requests must not reach a caller,
// and truncated ones must not pass as whole.
func TestCrossedAndTruncatedAnswers(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 1_000_000, false)
	f.engine("engine-0", "a", []int{0, 1}, "--fault", "swap,share=0.5", "--decode", "2ms")
	f.engine("engine-1", "a", []int{0, 1}, "--fault", "truncate,share=0.3", "--decode", "2ms")
	f.engine("engine-2", "b", []int{2}, "--fault", "reset-after,share=0.3", "--decode", "2ms")
	for i := range f.names {
		f.routes(i)
	}
	var group sync.WaitGroup
	for caller := range 6 {
		group.Go(func() {
			for n := range 12 {
				prompt := fmt.Sprintf("caller %d asks question %d", caller, n)
				stream := n%2 == 0
				a := f.chat(caller%len(f.names), prompt, 12, stream, "")
				whole := a.status == http.StatusOK && (!stream || strings.HasSuffix(a.body, "[DONE]\n\n"))
				if !whole {
					if code, run := a.code(); run == "" {
						t.Errorf("refusal without the truth: %d %s %q", a.status, code, a.body)
					}
					continue
				}
				seen, _, err := completion.Prompt(fmt.Appendf(nil, `[{"role":"user","content":%q}]`, prompt), nil)
				if err == nil {
					err = completion.Check(seen, text(a.body, stream))
				}
				if err != nil {
					t.Errorf("%q: %v in %q", prompt, err, a.body)
				}
			}
		})
	}
	group.Wait()
}

// text returns the content of a JSON answer or of a stream.
func text(body string, stream bool) string {
	lines := []string{body}
	if stream {
		lines = strings.Split(body, "\n")
	}
	content := ""
	for _, l := range lines {
		l = strings.TrimPrefix(l, "data: ")
		var chunk struct {
			Choices []struct {
				Message, Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(l), &chunk) == nil && len(chunk.Choices) > 0 {
			content += chunk.Choices[0].Message.Content + chunk.Choices[0].Delta.Content
		}
	}
	return content
}
