package controller

import (
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
)

func claim(request, digest, instance string, attempt uint64) *wire.Command {
	return &wire.Command{Change: &wire.Command_Claim{Claim: &wire.Claim{
		Account: "mill", Request: request, Digest: []byte(digest), Instance: instance, Incarnation: 1, Attempt: attempt}}}
}

func resolve(request, instance string, attempt uint64, ran bool) *wire.Command {
	return &wire.Command{Change: &wire.Command_Resolve{Resolve: &wire.Resolve{
		Account: "mill", Request: request, Instance: instance, Incarnation: 1, Attempt: attempt, Ran: ran, Status: 201}}}
}

// Granting a claim to two attempts would run the call twice. A claim must be
// free again once its attempt reports that the call did not run, or the
// caller's retry is blocked.
func TestClaims(t *testing.T) {
	h := newHarness(t)
	h.must(configure(document(1, 0, account.New("mill", 100))))
	for _, step := range []struct {
		name    string
		command *wire.Command
		code    string
		want    string // of granted, conflict, resolved
		after   time.Duration
	}{
		{"first", claim("r", "d", "x", 1), "", "granted", 0},
		{"resent", claim("r", "d", "x", 1), "", "granted", 0},
		{"another attempt of the instance", claim("r", "d", "x", 2), "", "", 0},
		{"another instance", claim("r", "d", "y", 1), "", "", 0},
		{"different content", claim("r", "e", "y", 1), "", "conflict", 0},
		{"different content from the same attempt", claim("r", "e", "x", 1), "", "conflict", 0},
		{"outcome of another attempt", resolve("r", "y", 1, false), "conflict", "", 0},
		{"outcome of another attempt of the instance", resolve("r", "x", 2, false), "conflict", "", 0},
		{"void", resolve("r", "x", 1, false), "", "", 0},
		{"void resent", resolve("r", "x", 1, false), "", "", 0},
		{"late resend of the voided claim", claim("r", "d", "x", 1), "", "resolved", 0},
		{"again", claim("r", "d", "y", 1), "", "granted", 0},
		{"late void of the first attempt", resolve("r", "x", 1, false), "conflict", "", 0},
		{"ran", resolve("r", "y", 1, true), "", "", 0},
		{"ran resent", resolve("r", "y", 1, true), "", "", 0},
		{"outcome replaced", resolve("r", "y", 1, false), "conflict", "", 0},
		{"after the outcome", claim("r", "d", "x", 3), "", "resolved", 0},
		{"without an attempt", claim("s", "d", "x", 0), "", "granted", 0},
		{"without an attempt again", claim("s", "d", "x", 0), "", "", 0},
		{"kept", claim("r", "d", "x", 4), "", "resolved", retention},
		{"after retention", claim("r", "d", "x", 4), "", "granted", 1},
		{"unknown", resolve("q", "x", 1, true), "missing", "", 0},
	} {
		h.now += int64(step.after)
		var result wire.ClaimResult
		code := h.do(step.command, &result)
		got := ""
		for name, is := range map[string]bool{"granted": result.Granted, "conflict": result.Conflict, "resolved": result.Resolved} {
			if is {
				got += name
			}
		}
		if code != step.code || got != step.want {
			t.Errorf("%s: got %q %q, want %q %q", step.name, code, got, step.code, step.want)
		}
		if err := h.Restore(h.Snapshot()); err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
	}
	h.must(dissolve())
	if got := h.do(claim("z", "d", "x", 1), nil); got != "closed" {
		t.Errorf("dissolving: got %q, want closed", got)
	}
}

// Two orders with the same fencing number would let a deposed issuer override
// its successor.
func TestOrders(t *testing.T) {
	h := newHarness(t)
	for _, step := range []struct {
		target, request, verb string
		code                  string
		fence                 uint64
		after                 time.Duration
	}{
		{"t1", "r1", "load", "", 1, 0},
		{"t1", "r2", "load", "", 2, 0},
		{"t2", "r1", "load", "", 1, 0},
		{"t1", "r1", "load", "", 1, 0},
		{"t1", "r1", "drop", "conflict", 0, 0},
		{"t1", "r3", "drop", "", 3, retention + 1},
		{"t1", "r1", "drop", "", 4, 0},
		{"t1", "", "drop", "malformed", 0, 0},
	} {
		h.now += int64(step.after)
		var result wire.OrderResult
		got := h.do(&wire.Command{Change: &wire.Command_Order{Order: &wire.Order{
			Target: step.target, Request: step.request, Verb: step.verb}}}, &result)
		if got != step.code || result.Fence != step.fence {
			t.Errorf("%v: got %q and fence %d", step, got, result.Fence)
		}
		if err := h.Restore(h.Snapshot()); err != nil {
			t.Fatal(err)
		}
	}
}

// Two restored ledgers of one zone, or a delayed command from a replaced ledger,
// would spend the same tokens twice.
func TestEpochs(t *testing.T) {
	h := newHarness(t)
	h.must(configure(document(1, 0, account.New("mill", 1200))))
	h.must(grant("a", 1, 1, 0, 0))
	h.must(released("a", 1, 1, 10))
	for _, step := range []struct {
		name    string
		command *wire.Command
		code    string
		epoch   uint64
	}{
		{"first", epoch("a", 1, "x", 7), "", 2},
		{"resent", epoch("a", 1, "x", 7), "", 2},
		{"racing", epoch("a", 1, "y", 1), "conflict", 0},
		{"grant of the replaced epoch", grant("a", 1, 1, 0, 0), "fenced", 0},
		{"release of the replaced epoch, applied", released("a", 1, 1, 10), "", 0},
		{"release of the replaced epoch, not applied", released("a", 1, 2, 10), "fenced", 0},
		{"sequence restarts", released("a", 2, 1, 20), "", 0},
		{"next", epoch("a", 2, "y", 1), "", 3},
		{"unknown zone", epoch("b", 0, "y", 1), "", 1},
		{"unknown zone and epoch", epoch("c", 5, "y", 1), "conflict", 0},
	} {
		var result wire.EpochResult
		if got := h.do(step.command, &result); got != step.code || result.Epoch != step.epoch {
			t.Errorf("%s: got %q and epoch %d, want %q and %d", step.name, got, result.Epoch, step.code, step.epoch)
		}
		if step.epoch == 2 && result.Pools[0].Zones["a"] != 190 {
			t.Errorf("%s: got %v, want 190 tokens in zone a", step.name, result.Pools)
		}
		if err := h.Restore(h.Snapshot()); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := h.formatPool(), "1200+0=1030+[{a 170}]+0"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Receipts must be dropped when they are confirmed, or memory use grows without
// bound. Dropping a receipt too early would apply a resent release twice.
func TestConfirmedReceiptsAreDropped(t *testing.T) {
	h := newHarness(t)
	h.must(configure(document(1, 0, account.New("mill", 1200))))
	h.must(grant("a", 1, 1, 0, 0))
	h.must(released("a", 1, 1, 10))
	second := grant("a", 1, 2, 0, 0)
	second.GetGrant().Confirmed = 1
	h.must(second)
	last := released("a", 1, 2, 10)
	last.GetReleased().Confirmed = 1
	h.must(last)
	r := h.state.ledgers["a"].findReceipts(1)
	if got := len(r.grants) + len(r.releases); got != 2 {
		t.Errorf("receipts: got %d, want 2", got)
	}
	if got := h.do(grant("a", 1, 1, 0, 0), nil); got != "conflict" {
		t.Errorf("confirmed grant: got %q, want conflict", got)
	}
	h.must(released("a", 1, 1, 10))
	if got, want := h.formatPool(), "1200+0=1020+[{a 180}]+0"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
