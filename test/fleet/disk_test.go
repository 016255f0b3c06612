package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// A holder whose files can't grow any more must accept nothing more and go on
// as a process, also when it starts without any space: the zone bills with
// another holder, the others still take top-ups, its log isn't flooded, and after
// a restart with space each request is billed once.
func TestFullDisk(t *testing.T) {
	f := start(t, []int{1, 2, 1}, 1_000_000, false)
	f.engine("engine-b", "b", []int{1, 2})
	f.kill("b1")
	f.limits["b1"] = 32
	f.serve(1)
	f.eventually("be ready", func() error { return f.ready(1) })
	f.routes(1)
	f.routes(2)
	const requests, topups, tokens, usage = 60, 160, 100, 9
	for n := range requests {
		if a := f.chat(1+n%2, "hi", 4, false, fmt.Sprintf("%s-%d", strings.Repeat("k", 100), n)); a.status != http.StatusOK {
			t.Errorf("request %d through %s: got %d %s, want 200", n, f.names[1+n%2], a.status, a.body)
		}
	}
	for n := range topups {
		f.eventually("top up", func() error { return f.topup(0, fmt.Sprintf("%s-%d", strings.Repeat("t", 100), n), tokens) })
	}
	for text, most := range map[string]int{"journal failed, refusing further changes": 10, "member stopped": 1, "failed to merge bills of another zone": 2} {
		f.logs("b1", text)
		if got := len(f.lines("b1", text)); got > most {
			t.Errorf("%s: got %d lines, want at most %d", text, got, most)
		}
	}
	if refused := f.scrape(1).sum("papayapond_book_calls_total", `result="corrupt"`) + f.scrape(2).sum("papayapond_book_calls_total", `result="corrupt"`); refused == 0 {
		t.Error("zone b: got no refused call in the metrics")
	}
	if f.procs["b1"].hasEnded() || f.ready(1) != nil {
		t.Errorf("b1: ended %v, ready %v; want a process that serves", f.procs["b1"].hasEnded(), f.ready(1))
	}

	f.kill("b1")
	f.limits["b1"] = noSpace
	f.serve(1)
	f.eventually("be ready without any space", func() error { return f.ready(1) })
	f.routes(1)
	if a := f.chat(1, "hi", 4, false, "no-space"); a.status != http.StatusOK {
		t.Errorf("request without any space: got %d %s, want 200", a.status, a.body)
	}

	f.kill("b1")
	f.limits["b1"] = 0
	f.serve(1)
	f.eventually("show each bill once", func() error {
		s, err := f.statement(0)
		if err == nil && (len(s.Missing) > 0 || s.Requests != requests+1 || s.Billed != (requests+1)*usage || s.Topups != topups*tokens) {
			err = fmt.Errorf("got missing %v, %d requests, %d billed, %d topped up", s.Missing, s.Requests, s.Billed, s.Topups)
		}
		return err
	})
}
