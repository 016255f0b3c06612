package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// A holder whose files can't grow any more must accept nothing more and go on
// as a process: the zone bills with another holder, the others still take
// top-ups, its log isn't flooded, and after a restart with space each request
// is billed once.
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
	for text, most := range map[string]int{"Journal accepts nothing more.": 10, "Member stopped.": 1, "Bills of another zone are not merged.": 2} {
		f.logs("b1", text)
		if got := len(f.lines("b1", text)); got > most {
			t.Errorf("%s: got %d lines, want at most %d", text, got, most)
		}
	}
	if s := f.scrape(2); s.sum("papayapond_book_calls_total", `call="settle"`, `result="corrupt"`) == 0 {
		t.Error("b2: got no refused settle in the metrics")
	}
	if f.procs["b1"].hasEnded() || f.ready(1) != nil {
		t.Errorf("b1: ended %v, ready %v; want a process that serves", f.procs["b1"].hasEnded(), f.ready(1))
	}

	f.kill("b1")
	f.limits["b1"] = 0
	f.serve(1)
	f.eventually("show each bill once", func() error {
		s, err := f.statement(0)
		if err == nil && (len(s.Missing) > 0 || s.Requests != requests || s.Billed != requests*usage || s.Topups != topups*tokens) {
			err = fmt.Errorf("got missing %v, %d requests, %d billed, %d topped up", s.Missing, s.Requests, s.Billed, s.Topups)
		}
		return err
	})
}
