package controller

import (
	"testing"

	"github.com/papayapond/papayapond/internal/wire"
)

func attempt(fence uint64) *wire.Command {
	return &wire.Command{Change: &wire.Command_Attempt{Attempt: &wire.Attempt{Target: "t", Request: "r", Fence: fence}}}
}

func conclude(fence uint64, outcome string) *wire.Command {
	return &wire.Command{Change: &wire.Command_Conclude{Conclude: &wire.Conclude{Target: "t", Request: "r", Fence: fence, Outcome: outcome}}}
}

// Accepting an attempt after the outcome would send a finished order again.
// Replacing an outcome would give two operators different answers. A snapshot
// must preserve both, or a restarted member could do either.
func TestOrderOutcomes(t *testing.T) {
	h := newHarness(t)
	h.config.Leader = func() string { return "" }
	order := &wire.Command{Change: &wire.Command_Order{Order: &wire.Order{Target: "t", Request: "r", Verb: "load", Subject: "m"}}}
	forced := &wire.Command{Change: &wire.Command_Order{Order: &wire.Order{Target: "t", Request: "r", Verb: "load", Subject: "m", Forced: true}}}
	for _, step := range []struct {
		name    string
		command *wire.Command
		code    string
		outcome string // of the order after the step
	}{
		{"attempt of an unknown order", attempt(1), "missing", ""},
		{"order", order, "", ""},
		{"order resent with different content", forced, "conflict", ""},
		{"attempt with another fence", attempt(2), "conflict", ""},
		{"attempt", attempt(1), "", ""},
		{"attempt again", attempt(1), "", ""},
		{"no outcome", conclude(1, ""), "malformed", ""},
		{"outcome with another fence", conclude(2, "obeyed"), "conflict", ""},
		{"outcome", conclude(1, "obeyed"), "", "obeyed"},
		{"outcome resent", conclude(1, "obeyed"), "", "obeyed"},
		{"different outcome", conclude(1, "expired"), "conflict", "obeyed"},
		{"attempt after the outcome", attempt(1), "conflict", "obeyed"},
		{"order resent", order, "", "obeyed"},
	} {
		var result wire.OrderResult
		if got := h.do(step.command, &result); got != step.code {
			t.Errorf("%s: got %q, want %q", step.name, got, step.code)
		}
		if err := h.Restore(h.Snapshot()); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if step.command == order && (result.Fence != 1 || result.Outcome != step.outcome) {
			t.Errorf("%s: got fence %d and outcome %q, want 1 and %q", step.name, result.Fence, result.Outcome, step.outcome)
		}
		reply, err := h.Read(t.Context(), &wire.ReadRequest{Stale: true, Orders: true})
		if err != nil {
			t.Fatal(err)
		}
		if len(reply.Orders) > 0 && reply.Orders[0].Outcome != step.outcome {
			t.Errorf("%s: got outcome %q, want %q", step.name, reply.Orders[0].Outcome, step.outcome)
		}
	}
	if got := h.state.sortedOrders()[0].Attempts; got != 2 {
		t.Errorf("attempts: got %d, want 2", got)
	}
}
