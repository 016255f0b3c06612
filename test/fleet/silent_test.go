package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Connections between zones that go silent for good while new ones work must
// delay what needs another zone by seconds only, and cost no bill.
func TestSilentPeers(t *testing.T) {
	f := start(t, []int{1, 1, 1}, 100_000, true)
	f.engine("engine-c", "c", []int{2})
	f.orders("order-c", "c", []int{2})
	f.routes(2)
	for _, r := range f.relays {
		r.silence()
	}
	begin := time.Now()
	if a := f.chat(2, "hi", 4, false, ""); a.status != http.StatusOK {
		t.Errorf("request: got %d %s, want 200", a.status, a.body)
	}
	f.eventually("take an order", func() error {
		a := f.order(2, "o-1", "order-1")
		if code, run := a.code(); a.status >= 300 && (code != "isolated" || run != "no") {
			t.Errorf("order: got %s run=%s, want success, or isolated run=no", code, run)
		}
		if a.status >= 300 {
			return fmt.Errorf("got %d %s", a.status, a.body)
		}
		return nil
	})
	if took := time.Since(begin); took > 10*time.Second {
		t.Errorf("order: taken after %v, want at most 10 s", took)
	}
	f.logs("c1", "update stream timed out")
	f.bills(0, 2)
}

// A connection to a target that goes silent for good must not cost a stream,
// nor an answer that another target can give, and be logged under the
// identity of the request.
func TestSilentTarget(t *testing.T) {
	f := start(t, []int{1}, 100_000, false)
	addresses := freeAddresses(t, 2)
	for i, address := range addresses {
		f.engine(fmt.Sprintf("engine-%d", i), "a", []int{0}, "--address", address, "--decode", "40ms")
	}
	f.eventually("know both engines", func() error {
		if got := f.scrape(0).sum("papayapond_targets", `state="ready"`); got != 2 {
			return fmt.Errorf("got %v targets", got)
		}
		return nil
	})
	for _, test := range []struct {
		identity, line string
		stream         bool
	}{{"whole-1", "connection stalled", false}, {"stream-1", "stream resumed on a new connection", true}} {
		done := make(chan answer, 1)
		go func() { done <- f.chat(0, "hi", 50, test.stream, test.identity) }()
		time.Sleep(700 * time.Millisecond) // the request runs
		for _, address := range addresses {
			r, err := http.Post("http://"+address+"/v1/silence", "", nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = r.Body.Close()
		}
		if a := <-done; a.status != http.StatusOK || test.stream && !strings.HasSuffix(a.body, "[DONE]\n\n") {
			t.Errorf("%s: got %d %s, want a whole answer", test.identity, a.status, a.body)
		}
		if got := f.lines("a1", fmt.Sprintf(`%s","instance":"a1","request":%q`, test.line, test.identity)); len(got) == 0 {
			t.Errorf("%s: got no line %q", test.identity, test.line)
		}
	}
	f.bills(0, 2)
}
