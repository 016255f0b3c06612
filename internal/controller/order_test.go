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

// An attempt that is accepted after the outcome sends a finished order again,
// and an outcome that can be replaced tells two operators different things. A
// snapshot that loses either lets a restarted member do both.
func TestOutcomes(t *testing.T) {
	b := newBench(t)
	b.config.Leader = func() string { return "" }
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
		{"order resent with other content", forced, "conflict", ""},
		{"attempt with another fence", attempt(2), "conflict", ""},
		{"attempt", attempt(1), "", ""},
		{"attempt again", attempt(1), "", ""},
		{"no outcome", conclude(1, ""), "malformed", ""},
		{"outcome with another fence", conclude(2, "obeyed"), "conflict", ""},
		{"outcome", conclude(1, "obeyed"), "", "obeyed"},
		{"outcome resent", conclude(1, "obeyed"), "", "obeyed"},
		{"another outcome", conclude(1, "expired"), "conflict", "obeyed"},
		{"attempt after the outcome", attempt(1), "conflict", "obeyed"},
		{"order resent", order, "", "obeyed"},
	} {
		var result wire.OrderResult
		if got := b.do(step.command, &result); got != step.code {
			t.Errorf("%s: got %q, want %q", step.name, got, step.code)
		}
		if err := b.Restore(b.Snapshot()); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if step.command == order && (result.Fence != 1 || result.Outcome != step.outcome) {
			t.Errorf("%s: got fence %d and outcome %q, want 1 and %q", step.name, result.Fence, result.Outcome, step.outcome)
		}
		reply, err := b.Read(t.Context(), &wire.ReadRequest{Stale: true, Orders: true})
		if err != nil {
			t.Fatal(err)
		}
		if len(reply.Orders) > 0 && reply.Orders[0].Outcome != step.outcome {
			t.Errorf("%s: got outcome %q, want %q", step.name, reply.Orders[0].Outcome, step.outcome)
		}
	}
	if got := b.state.issues()[0].Attempts; got != 2 {
		t.Errorf("attempts: got %d, want 2", got)
	}
}
