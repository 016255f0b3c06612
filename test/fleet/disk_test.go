package fleet

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
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
	// Without tokens in zone b, all requests are billed in zone a, and the ledger of
	// b1 isn't full before the copies are.
	f.eventually("have tokens in zone b", func() error {
		if f.scrape(1).sum("papayapond_zone_tokens", `state="free"`) == 0 {
			return errors.New("no free tokens")
		}
		return nil
	})
	const requests, topups, tokens, usage = 60, 160, 100, 9
	for n := range requests {
		if a := f.chat(1+n%2, "hi", 4, false, fmt.Sprintf("%s-%d", strings.Repeat("k", 100), n)); a.status != http.StatusOK {
			t.Errorf("request %d through %s: got %d %s, want 200", n, f.names[1+n%2], a.status, a.body)
		}
	}
	for n := range topups {
		f.eventually("top up", func() error { return f.topup(0, fmt.Sprintf("%s-%d", strings.Repeat("t", 100), n), tokens) })
	}
	const full, stopped, merge = "journal failed, refusing further changes", "member stopped", "failed to merge bills of another zone"
	f.logs("b1", stopped)
	f.eventually("fill the ledger of b1", func() error {
		if !slices.ContainsFunc(f.lines("b1", full), func(line string) bool { return strings.Contains(line, "/b1/ledger") }) {
			return errors.New("b1 has no such line")
		}
		return nil
	})
	// The copies may be full before the ledger, so that no bill comes that can't be
	// merged; holder.TestMergeResumesAfterStorageError brings one about.
	for text, most := range map[string]int{full: 10, stopped: 1, merge: 2} {
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
