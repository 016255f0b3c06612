package controller

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

// harness applies commands to a controller without a log.
type harness struct {
	*Controller
	t     testing.TB
	index uint64
	now   int64
}

func newHarness(t testing.TB) *harness {
	return &harness{Controller: New(Config{}), t: t, now: 1}
}

// apply applies a command and returns its reply.
func (h *harness) apply(m *wire.Command) *wire.ProposeReply {
	h.t.Helper()
	h.index++
	m.Time = h.now
	var reply wire.ProposeReply
	if err := proto.Unmarshal(h.Apply(h.index, encode(m)), &reply); err != nil {
		h.t.Fatal(err)
	}
	return &reply
}

// do applies a command, decodes its result into result unless that is nil, and
// returns the fault code, or "" on success.
func (h *harness) do(m *wire.Command, result proto.Message) string {
	h.t.Helper()
	reply := h.apply(m)
	if result != nil {
		decode(h.t, reply.Result, result)
	}
	return reply.GetFault().GetCode()
}

func decode(t testing.TB, b []byte, m proto.Message) {
	t.Helper()
	if err := proto.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
}

func (h *harness) must(m *wire.Command) {
	h.t.Helper()
	if reply := h.apply(m); reply.Fault != nil {
		h.t.Fatalf("%v: got %v, want success", m, reply.Fault)
	}
}

func (h *harness) formatPool() string {
	p := h.state.pools["mill"]
	if p == nil {
		return "none"
	}
	return fmt.Sprintf("%d+%d=%d+%v+%d", p.prepaid, p.topups, p.unassigned, p.shares, p.refunded)
}

var termStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// document returns the text of a configuration with the given accounts.
func document(version, replaces uint64, accounts ...account.Account) []byte {
	return printer.Text(venture.New("wondimu", termStart, termStart.AddDate(1, 0, 0)).WithVersion(version, replaces).WithAccounts(accounts...))
}

func configure(document []byte) *wire.Command {
	return &wire.Command{Change: &wire.Command_Configure{Configure: &wire.Configure{Document: document, Zones: []string{"a", "b", "c"}}}}
}

func topup(name, account string, tokens int64) *wire.Command {
	return &wire.Command{Change: &wire.Command_Topup{Topup: &wire.Topup{Name: name, Account: account, Tokens: tokens}}}
}

func grant(zone string, epoch, sequence uint64, need, want int64) *wire.Command {
	return &wire.Command{Change: &wire.Command_Grant{Grant: &wire.Grant{Account: "mill", Zone: zone, Epoch: epoch, Sequence: sequence, Need: need, Want: want}}}
}

func released(zone string, epoch, sequence uint64, amount int64) *wire.Command {
	return &wire.Command{Change: &wire.Command_Released{Released: &wire.Released{Account: "mill", Zone: zone, Epoch: epoch, Sequence: sequence, Amount: amount}}}
}

func epoch(zone string, replaced uint64, instance string, sequence uint64) *wire.Command {
	return &wire.Command{Change: &wire.Command_Epoch{Epoch: &wire.Epoch{Zone: zone, Epoch: replaced, Instance: instance, Sequence: sequence}}}
}

func dissolve() *wire.Command {
	return &wire.Command{Change: &wire.Command_Dissolve{Dissolve: &wire.Dissolve{}}}
}

func closeCommand(balances ...*wire.Balance) *wire.Command {
	return &wire.Command{Change: &wire.Command_Close{Close: &wire.Close{Balances: balances}}}
}

// A wrong grant amount starves a zone or leaves nothing for the others. A
// resend that is granted again leaks tokens.
func TestGrants(t *testing.T) {
	h := newHarness(t)
	if got := h.do(grant("a", 1, 1, 1, 1), nil); got != fault.Closed.Code() {
		t.Errorf("before a configuration: got %q, want closed", got)
	}
	h.must(configure(document(1, 0, account.New("mill", 1200))))
	for _, step := range []struct {
		name    string
		command *wire.Command
		code    string
		amount  int64
		pool    string
	}{
		{"first grant", grant("a", 1, 1, 0, 0), "", 200, "1200+0=1000+[{a 200}]+0"},
		{"resent", grant("a", 1, 1, 0, 0), "", 200, "1200+0=1000+[{a 200}]+0"},
		{"first grant with higher demand", grant("b", 1, 1, 0, 300), "", 300, "1200+0=700+[{a 200} {b 300}]+0"},
		{"half of the unassigned tokens", grant("a", 1, 2, 10, 9000), "", 350, "1200+0=350+[{a 550} {b 300}]+0"},
		{"need above half", grant("a", 1, 3, 200, 200), "", 200, "1200+0=150+[{a 750} {b 300}]+0"},
		{"need above the unassigned tokens", grant("a", 1, 4, 151, 0), "", 75, "1200+0=75+[{a 825} {b 300}]+0"},
		{"first grant limited by the unassigned tokens", grant("c", 1, 1, 0, 0), "", 75, "1200+0=0+[{a 825} {b 300} {c 75}]+0"},
		{"no unassigned tokens", grant("b", 1, 2, 5, 5), "", 0, "1200+0=0+[{a 825} {b 300} {c 75}]+0"},
		{"release", released("a", 1, 1, 25), "", 0, "1200+0=25+[{a 800} {b 300} {c 75}]+0"},
		{"release resent", released("a", 1, 1, 25), "", 0, "1200+0=25+[{a 800} {b 300} {c 75}]+0"},
		{"release with different content", released("a", 1, 1, 26), "conflict", 0, "1200+0=25+[{a 800} {b 300} {c 75}]+0"},
		{"empty grant resent", grant("b", 1, 2, 5, 5), "", 0, "1200+0=25+[{a 800} {b 300} {c 75}]+0"},
		{"zone that is not configured", grant("d", 0, 1, 0, 0), "", 0, "1200+0=25+[{a 800} {b 300} {c 75} {d 0}]+0"},
		{"last tokens", grant("b", 1, 3, 25, 25), "", 25, "1200+0=0+[{a 800} {b 325} {c 75} {d 0}]+0"},
		{"other epoch", grant("a", 2, 5, 1, 1), "fenced", 0, "1200+0=0+[{a 800} {b 325} {c 75} {d 0}]+0"},
		{"negative", grant("a", 1, 6, -1, 1), "malformed", 0, "1200+0=0+[{a 800} {b 325} {c 75} {d 0}]+0"},
	} {
		var result wire.GrantResult
		if got := h.do(step.command, &result); got != step.code || result.Amount != step.amount {
			t.Errorf("%s: got %q and %d tokens, want %q and %d", step.name, got, result.Amount, step.code, step.amount)
		}
		if got := h.formatPool(); got != step.pool {
			t.Errorf("%s: got %s, want %s", step.name, got, step.pool)
		}
	}
}

// Releasing more tokens than a zone holds would create tokens, so it must stop
// the account.
func TestOverReleaseStopsAccount(t *testing.T) {
	for _, first := range []*wire.Command{released("a", 1, 1, 201), released("b", 1, 1, 1)} {
		core, logs := observer.New(zap.ErrorLevel)
		h := newHarness(t)
		h.Controller = New(Config{Logger: zap.New(core)})
		h.must(configure(document(1, 0, account.New("mill", 1200))))
		h.must(grant("a", 1, 1, 0, 0))
		before := h.formatPool()
		for _, m := range []*wire.Command{first, released("a", 1, 2, 1), grant("b", 1, 1, 1, 1), topup("t", "mill", 1)} {
			if got := h.do(m, nil); got != fault.Broken.Code() {
				t.Errorf("%v: got %q, want broken", m, got)
			}
		}
		if got := h.formatPool(); got != before {
			t.Errorf("got %s, want %s", got, before)
		}
		if got := logs.All(); len(got) != 1 || !strings.Contains(fmt.Sprint(got[0].ContextMap()["command"]), "amount") {
			t.Errorf("log: got %v, want one line with the command", got)
		}
		if err := h.Restore(h.Snapshot()); err != nil || !h.state.pools["mill"].stopped {
			t.Errorf("after a restore: got error %v, want a stopped account", err)
		}
	}
}

// No tokens may be granted, released or added while a pool violates its
// invariants.
func TestInconsistentPoolStopsAccount(t *testing.T) {
	for _, m := range []*wire.Command{grant("b", 1, 1, 1, 1), released("a", 1, 1, 1), topup("t", "mill", 1)} {
		h := newHarness(t)
		h.must(configure(document(1, 0, account.New("mill", 1200))))
		h.must(grant("a", 1, 1, 0, 0))
		h.state.pools["mill"].unassigned++
		if got := h.do(m, nil); got != fault.Broken.Code() {
			t.Errorf("%v: got %q, want broken", m, got)
		}
		if !h.state.pools["mill"].stopped {
			t.Errorf("%v: account is not stopped, want it stopped", m)
		}
	}
}

// A top-up that is resent after a lost reply must not be credited twice.
func TestTopups(t *testing.T) {
	h := newHarness(t)
	h.must(configure(document(1, 0, account.New("mill", 10).WithTopup("march", 5), account.New("bakery", 0))))
	for _, step := range []struct {
		command *wire.Command
		code    string
		pool    string
	}{
		{topup("april", "mill", 7), "", "10+12=22+[]+0"},
		{topup("april", "mill", 7), "", "10+12=22+[]+0"},
		{topup("march", "mill", 5), "", "10+12=22+[]+0"},
		{topup("april", "mill", 8), "conflict", "10+12=22+[]+0"},
		{topup("april", "bakery", 7), "conflict", "10+12=22+[]+0"},
		{topup("may", "baker", 7), "missing", "10+12=22+[]+0"},
		{topup("may", "mill", 0), "malformed", "10+12=22+[]+0"},
		{topup("", "mill", 1), "malformed", "10+12=22+[]+0"},
	} {
		if got := h.do(step.command, nil); got != step.code {
			t.Errorf("%v: got %q, want %q", step.command, got, step.code)
		}
		if got := h.formatPool(); got != step.pool {
			t.Errorf("%v: got %s, want %s", step.command, got, step.pool)
		}
	}
	reply := h.apply(topup("april", "mill", 8))
	if want := "top-up april was accepted with 7 tokens for account mill"; !strings.Contains(reply.Fault.Text, want) {
		t.Errorf("got %q, want %q", reply.Fault.Text, want)
	}
}

// A close that fails because an account violates its invariants must change nothing
// else: a snapshot with a statement of a venture that isn't closed can't be restored,
// and tokens of other accounts would count as refunded.
func TestCloseStopsAccount(t *testing.T) {
	h := newHarness(t)
	h.must(configure(document(1, 0, account.New("mill", 1200), account.New("bakery", 7))))
	h.must(dissolve())
	h.state.pools["mill"].refunded = 5
	bakery := &wire.Balance{Account: "bakery", Prepaid: 7, Refundable: 7}
	mill := &wire.Balance{Account: "mill", Prepaid: 1200, Refundable: 1200}
	if got, want := h.do(closeCommand(bakery, mill), nil), fault.Broken.Code(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := h.state.pools["bakery"].refunded, int64(0); got != want {
		t.Errorf("bakery: got %d tokens refunded, want %d", got, want)
	}
	if err := h.Restore(h.Snapshot()); err != nil || !h.state.pools["mill"].stopped {
		t.Errorf("after a restore: got error %v, want a stopped account", err)
	}
}

// Closing the venture while a zone holds unbilled tokens would leave them owed.
// Closing it again with a different statement would refund tokens twice.
func TestClose(t *testing.T) {
	h := newHarness(t)
	h.must(configure(document(1, 0, account.New("mill", 1200), account.New("bakery", 7))))
	h.must(grant("a", 1, 1, 0, 0))
	bakery := &wire.Balance{Account: "bakery", Prepaid: 7, Refundable: 7}
	mill := &wire.Balance{Account: "mill", Prepaid: 1200, Billed: 150, Refundable: 1050}
	if got := h.do(closeCommand(bakery, mill), nil); got != "conflict" {
		t.Errorf("close before dissolve: got %q, want conflict", got)
	}
	h.must(dissolve())
	h.must(dissolve())
	if got := h.do(grant("a", 1, 2, 1, 1), nil); got != "closed" {
		t.Errorf("grant while dissolving: got %q, want closed", got)
	}
	if got := h.do(closeCommand(bakery, mill), nil); got != "conflict" {
		t.Errorf("close with unbilled tokens: got %q, want conflict", got)
	}
	h.must(released("a", 1, 1, 50))
	if got := h.do(closeCommand(mill), nil); got != "conflict" {
		t.Errorf("close without an account: got %q, want conflict", got)
	}
	var first, second wire.Statement
	if got := h.do(closeCommand(mill, bakery), &first); got != "" {
		t.Errorf("close: got %q, want success", got)
	}
	h.now++
	if got := h.do(closeCommand(bakery, mill), &second); got != "" || !proto.Equal(&first, &second) {
		t.Errorf("close again: got %q and %v, want %v", got, &second, &first)
	}
	if got := h.do(closeCommand(mill), nil); got != "conflict" {
		t.Errorf("close with different balances: got %q, want conflict", got)
	}
	if got, want := h.formatPool(), "1200+0=0+[{a 150}]+1050"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	before := h.Snapshot()
	if err := h.Restore(before); err != nil || !bytes.Equal(h.Snapshot(), before) {
		t.Errorf("after a restore: got error %v, want the same snapshot", err)
	}
}
