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

// bench applies commands to a controller without a log.
type bench struct {
	*Controller
	t     testing.TB
	index uint64
	now   int64
}

func newBench(t testing.TB) *bench {
	return &bench{Controller: New(Config{}), t: t, now: 1}
}

// apply applies a command and returns its reply.
func (b *bench) apply(m *wire.Command) *wire.ProposeReply {
	b.t.Helper()
	b.index++
	m.Time = b.now
	var reply wire.ProposeReply
	if err := proto.Unmarshal(b.Apply(b.index, encode(m)), &reply); err != nil {
		b.t.Fatal(err)
	}
	return &reply
}

// do applies a command, decodes its result into result and returns the code
// of its fault, or "".
func (b *bench) do(m *wire.Command, result proto.Message) string {
	b.t.Helper()
	reply := b.apply(m)
	if result != nil {
		decode(b.t, reply.Result, result)
	}
	return reply.GetFault().GetCode()
}

func decode(t testing.TB, b []byte, m proto.Message) {
	t.Helper()
	if err := proto.Unmarshal(b, m); err != nil {
		t.Fatal(err)
	}
}

func (b *bench) must(m *wire.Command) {
	b.t.Helper()
	if reply := b.apply(m); reply.Fault != nil {
		b.t.Fatalf("%v: got %v, want success", m, reply.Fault)
	}
}

func (b *bench) pool() string {
	p := b.state.pools["mill"]
	if p == nil {
		return "none"
	}
	return fmt.Sprintf("%d+%d=%d+%v+%d", p.prepaid, p.topups, p.unassigned, p.shares, p.refunded)
}

var term = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// document returns a configuration with the given accounts.
func document(version, replaces uint64, accounts ...account.Account) []byte {
	return printer.Text(venture.New("wondimu", term, term.AddDate(1, 0, 0)).WithVersion(version, replaces).WithAccounts(accounts...))
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

func closing(balances ...*wire.Balance) *wire.Command {
	return &wire.Command{Change: &wire.Command_Close{Close: &wire.Close{Balances: balances}}}
}

// A grant rule that differs from the design starves a zone or leaves nothing
// to the others; a resend that grants again leaks tokens.
func TestGrants(t *testing.T) {
	b := newBench(t)
	if got := b.do(grant("a", 1, 1, 1, 1), nil); got != fault.Closed.Code() {
		t.Errorf("before a configuration: got %q, want closed", got)
	}
	b.must(configure(document(1, 0, account.New("mill", 1200))))
	for _, step := range []struct {
		name    string
		command *wire.Command
		code    string
		amount  int64
		pool    string
	}{
		{"first part", grant("a", 1, 1, 0, 0), "", 200, "1200+0=1000+[{a 200}]+0"},
		{"resent", grant("a", 1, 1, 0, 0), "", 200, "1200+0=1000+[{a 200}]+0"},
		{"first part with more demand", grant("b", 1, 1, 0, 300), "", 300, "1200+0=700+[{a 200} {b 300}]+0"},
		{"half of the rest", grant("a", 1, 2, 10, 9000), "", 350, "1200+0=350+[{a 550} {b 300}]+0"},
		{"need beyond half", grant("a", 1, 3, 200, 200), "", 200, "1200+0=150+[{a 750} {b 300}]+0"},
		{"need not available", grant("a", 1, 4, 151, 0), "", 75, "1200+0=75+[{a 825} {b 300}]+0"},
		{"first part limited by the rest", grant("c", 1, 1, 0, 0), "", 75, "1200+0=0+[{a 825} {b 300} {c 75}]+0"},
		{"nothing left", grant("b", 1, 2, 5, 5), "", 0, "1200+0=0+[{a 825} {b 300} {c 75}]+0"},
		{"release", released("a", 1, 1, 25), "", 0, "1200+0=25+[{a 800} {b 300} {c 75}]+0"},
		{"release resent", released("a", 1, 1, 25), "", 0, "1200+0=25+[{a 800} {b 300} {c 75}]+0"},
		{"release with other content", released("a", 1, 1, 26), "conflict", 0, "1200+0=25+[{a 800} {b 300} {c 75}]+0"},
		{"empty grant resent", grant("b", 1, 2, 5, 5), "", 0, "1200+0=25+[{a 800} {b 300} {c 75}]+0"},
		{"zone outside the fleet", grant("d", 0, 1, 0, 0), "", 0, "1200+0=25+[{a 800} {b 300} {c 75} {d 0}]+0"},
		{"last tokens", grant("b", 1, 3, 25, 25), "", 25, "1200+0=0+[{a 800} {b 325} {c 75} {d 0}]+0"},
		{"other epoch", grant("a", 2, 5, 1, 1), "fenced", 0, "1200+0=0+[{a 800} {b 325} {c 75} {d 0}]+0"},
		{"negative", grant("a", 1, 6, -1, 1), "malformed", 0, "1200+0=0+[{a 800} {b 325} {c 75} {d 0}]+0"},
	} {
		var result wire.GrantResult
		if got := b.do(step.command, &result); got != step.code || result.Amount != step.amount {
			t.Errorf("%s: got %q and %d tokens, want %q and %d", step.name, got, result.Amount, step.code, step.amount)
		}
		if got := b.pool(); got != step.pool {
			t.Errorf("%s: got %s, want %s", step.name, got, step.pool)
		}
	}
}

// A zone that gives back more than it got would create tokens.
func TestViolationStopsTheAccount(t *testing.T) {
	for _, first := range []*wire.Command{released("a", 1, 1, 201), released("b", 1, 1, 1)} {
		core, logs := observer.New(zap.ErrorLevel)
		b := newBench(t)
		b.Controller = New(Config{Logger: zap.New(core)})
		b.must(configure(document(1, 0, account.New("mill", 1200))))
		b.must(grant("a", 1, 1, 0, 0))
		before := b.pool()
		for _, m := range []*wire.Command{first, released("a", 1, 2, 1), grant("b", 1, 1, 1, 1), topup("t", "mill", 1)} {
			if got := b.do(m, nil); got != fault.Broken.Code() {
				t.Errorf("%v: got %q, want broken", m, got)
			}
		}
		if got := b.pool(); got != before {
			t.Errorf("got %s, want %s", got, before)
		}
		if got := logs.All(); len(got) != 1 || !strings.Contains(fmt.Sprint(got[0].ContextMap()["command"]), "amount") {
			t.Errorf("log: got %v, want one line with the command", got)
		}
		if err := b.Restore(b.Snapshot()); err != nil || !b.state.pools["mill"].stopped {
			t.Errorf("after a restart: got %v, want a stopped account", err)
		}
	}
}

// Books that don't add up must not hand out rights.
func TestUnsoundBooksStopTheAccount(t *testing.T) {
	for _, m := range []*wire.Command{grant("b", 1, 1, 1, 1), released("a", 1, 1, 1), topup("t", "mill", 1)} {
		b := newBench(t)
		b.must(configure(document(1, 0, account.New("mill", 1200))))
		b.must(grant("a", 1, 1, 0, 0))
		b.state.pools["mill"].unassigned++
		if got := b.do(m, nil); got != fault.Broken.Code() {
			t.Errorf("%v: got %q, want broken", m, got)
		}
		if !b.state.pools["mill"].stopped {
			t.Errorf("%v: the account isn't stopped", m)
		}
	}
}

// A top-up that is resent after a lost answer must not be credited twice.
func TestTopups(t *testing.T) {
	b := newBench(t)
	b.must(configure(document(1, 0, account.New("mill", 10).WithTopup("march", 5), account.New("bakery", 0))))
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
		if got := b.do(step.command, nil); got != step.code {
			t.Errorf("%v: got %q, want %q", step.command, got, step.code)
		}
		if got := b.pool(); got != step.pool {
			t.Errorf("%v: got %s, want %s", step.command, got, step.pool)
		}
	}
	reply := b.apply(topup("april", "mill", 8))
	if want := "top-up april was accepted with 7 tokens for account mill"; !strings.Contains(reply.Fault.Text, want) {
		t.Errorf("got %q, want %q", reply.Fault.Text, want)
	}
}

// Books that are closed while a zone still holds rights owe tokens; a second
// closing with another statement would refund twice.
func TestClosing(t *testing.T) {
	b := newBench(t)
	b.must(configure(document(1, 0, account.New("mill", 1200), account.New("bakery", 7))))
	b.must(grant("a", 1, 1, 0, 0))
	bakery := &wire.Balance{Account: "bakery", Prepaid: 7, Refundable: 7}
	mill := &wire.Balance{Account: "mill", Prepaid: 1200, Billed: 150, Refundable: 1050}
	if got := b.do(closing(bakery, mill), nil); got != "conflict" {
		t.Errorf("close before dissolve: got %q, want conflict", got)
	}
	b.must(dissolve())
	b.must(dissolve())
	if got := b.do(grant("a", 1, 2, 1, 1), nil); got != "closed" {
		t.Errorf("grant: got %q, want closed", got)
	}
	if got := b.do(closing(bakery, mill), nil); got != "conflict" {
		t.Errorf("close with rights outstanding: got %q, want conflict", got)
	}
	b.must(released("a", 1, 1, 50))
	if got := b.do(closing(mill), nil); got != "conflict" {
		t.Errorf("close without an account: got %q, want conflict", got)
	}
	var first, second wire.Statement
	if got := b.do(closing(mill, bakery), &first); got != "" {
		t.Errorf("close: got %q, want success", got)
	}
	b.now++
	if got := b.do(closing(bakery, mill), &second); got != "" || !proto.Equal(&first, &second) {
		t.Errorf("close again: got %q and %v, want %v", got, &second, &first)
	}
	if got := b.do(closing(mill), nil); got != "conflict" {
		t.Errorf("close with other balances: got %q, want conflict", got)
	}
	if got, want := b.pool(), "1200+0=0+[{a 150}]+1050"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	before := b.Snapshot()
	if err := b.Restore(before); err != nil || !bytes.Equal(b.Snapshot(), before) {
		t.Errorf("restored: got %v, want the same snapshot", err)
	}
}
