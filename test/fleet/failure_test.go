package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// slow makes an engine that needs 20 ms for each token.
var slow = []string{"--decode", "20ms"}

// later starts a stream and returns its answer when it ends.
func (f *fleet) later(i, tokens int, identity string) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- f.chat(i, "A long quote, please.", tokens, true, identity) }()
	time.Sleep(300 * time.Millisecond) // the stream is open
	return done
}

// bills waits until the statement shows exactly the given number of bills.
func (f *fleet) bills(i, want int) statement {
	f.t.Helper()
	var s statement
	f.eventually("show the bills", func() (err error) {
		s, err = f.statement(i)
		if err == nil && (len(s.Bills) != want || len(s.Missing) > 0) {
			err = fmt.Errorf("got %d bills, missing %v, want %d bills", len(s.Bills), s.Missing, want)
		}
		return err
	})
	return s
}

// A router that dies with an open stream must leave no bill, and the retry of
// the caller through another instance must be billed once.
func TestRouterDiesMidStream(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-a", "a", []int{0}, slow...)
	f.routes(0)
	f.routes(1)
	stream := f.later(1, 50, "quote-1")
	f.kill("a2")
	if a := <-stream; a.err == nil && strings.Contains(a.body, "[DONE]") {
		t.Errorf("broken stream: got %q, want no end", a.body)
	}
	for range 2 {
		if a := f.chat(0, "A long quote, please.", 50, true, "quote-1"); !strings.HasSuffix(a.body, "[DONE]\n\n") {
			t.Errorf("retry: got %d %q, want a whole stream", a.status, a.body)
		}
	}
	s := f.bills(0, 1)
	if s.Billed != s.Bills[0].Amount {
		t.Errorf("billed: got %d, want the one bill of %d", s.Billed, s.Bills[0].Amount)
	}
}

// A zone that is cut off must go on serving from the rights that it holds and
// refuse truthfully what needs the quorum; a top-up on the other side must
// count once although it is resent. Operators must see the cut on both sides.
func TestZoneCutOff(t *testing.T) {
	f := start(t, []int{1, 1, 2}, 100_000, true)
	for i, zone := range []string{"a", "b", "c"} {
		f.engine("engine-"+zone, zone, []int{i})
		f.orders("order-"+zone, zone, []int{i})
		f.routes(i)
	}
	f.routes(3)
	isolated := func(i int) bool { return i >= 2 }
	f.cut(isolated, true)
	time.Sleep(4 * time.Second)

	for n := range 5 {
		if a := f.chat(2+n%2, "Are they in stock?", 8, false, ""); a.status != http.StatusOK {
			t.Errorf("request %d in the cut-off zone: got %d %s, want 200", n, a.status, a.body)
		}
	}
	a := f.order(2, "o-1", "order-1")
	if code, run := a.code(); code != "isolated" || run != "no" {
		t.Errorf("order in the cut-off zone: got %s run=%s, want isolated run=no", code, run)
	}
	if err := f.topup(2, "june", 5000); err == nil {
		t.Error("top-up in the cut-off zone: got success, want a refusal")
	}
	for range 2 {
		if err := f.topup(0, "june", 5000); err != nil {
			t.Errorf("top-up on the side of the quorum: %v", err)
		}
	}
	if err := f.topup(0, "june", 6000); err == nil {
		t.Error("same top-up with another amount: got success, want a conflict")
	}

	f.shows(0, "a1 alive, b1 alive, c1 cut, c2 suspect")
	f.shows(2, "a1 cut, b1 cut, c1 alive, c2 alive")
	for i, stale := range []float64{0, 0, 1, 1} {
		f.eventually("report what is stale", func() error {
			if got := f.scrape(i).sum("papayapond_configuration_stale"); got != stale {
				return fmt.Errorf("%s: got stale %v, want %v", f.names[i], got, stale)
			}
			return nil
		})
	}
	for _, text := range []string{"entering solo mode", "Stream went silent.", "zone unreachable"} {
		f.logs("c1", text)
	}

	f.cut(isolated, false)
	f.shows(0, "a1 alive, b1 alive, c1 alive, c2 alive")
	f.logs("c1", "leaving solo mode")
	s := f.bills(0, 5)
	if got, want := s.Topups, int64(5000); got != want {
		t.Errorf("top-ups: got %d, want %d", got, want)
	}
	a = f.order(2, "o-1", "order-1")
	if a.status >= 300 {
		t.Errorf("order after the cut: got %d %s, want success", a.status, a.body)
	}
}

// An instance that is frozen between its check and its answer is fenced. What
// it answers after waking must not be reported as a success without a bill.
func TestFrozenInstance(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-a", "a", []int{0}, slow...)
	f.routes(1)
	stream := f.later(1, 40, "")
	f.signal("a2", syscall.SIGSTOP)
	time.Sleep(9 * time.Second)
	f.signal("a2", syscall.SIGCONT)
	a := <-stream
	done := strings.Contains(a.body, "[DONE]")
	s, err := f.statement(0)
	if err != nil {
		t.Fatal(err)
	}
	if done != (s.Billed > 0) {
		t.Errorf("whole answer: %v, billed: %d tokens; want both or neither", done, s.Billed)
	}
	f.eventually("serve again", func() error {
		if a := f.chat(1, "hello", 4, false, ""); a.status != http.StatusOK {
			return fmt.Errorf("got %d %s", a.status, a.body)
		}
		return nil
	})
}

// A planned stop must not cut off a stream, and the instance must end by
// itself.
func TestPlannedStop(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	f.engine("engine-a", "a", []int{0}, slow...)
	f.routes(0)
	f.routes(1)
	for _, stopped := range []int{1, 0} {
		stream := f.later(stopped, 60, "")
		f.signal(f.names[stopped], syscall.SIGTERM)
		if a := <-stream; !strings.HasSuffix(a.body, "[DONE]\n\n") {
			t.Errorf("stream through %s: got %q, want a whole one", f.names[stopped], a.body)
		}
		if err := f.procs[f.names[stopped]].wait(); err != nil {
			t.Errorf("stop of %s: %v", f.names[stopped], err)
		}
		delete(f.procs, f.names[stopped])
		f.serve(stopped)
		f.eventually("be ready again", func() error { return f.ready(stopped) })
		f.routes(stopped)
	}
	f.bills(0, 2)
}
