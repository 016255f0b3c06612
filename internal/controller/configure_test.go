package controller

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
)

// A lost race that looks like a success makes an operator believe that a
// change is in force; a resend that looks like a conflict the opposite.
func TestVersions(t *testing.T) {
	b := newBench(t)
	mill := account.New("mill", 100)
	one := document(1, 0, mill)
	for _, step := range []struct {
		name     string
		document []byte
		code     string
		text     string
	}{
		{"without a first", document(2, 1, mill), "conflict", "none has been accepted"},
		{"malformed", []byte("version = 1\ncolour = 2"), "malformed", "line 2: colour: unknown key"},
		{"first", one, "", ""},
		{"first resent", one, "", ""},
		{"equal version", document(1, 0, mill.WithWeight(2)), "conflict", "version 1 was accepted with other content; differences from version 1: account mill: weight: 1 -> 2"},
		{"wrong replaces", document(3, 2, mill), "conflict", "version 3 replaces version 2, but version 1 is in force; differences from version 1: none"},
		{"rejected", document(2, 1, mill.WithBudget(99), account.New("bakery", 1).WithModels("x")), "malformed", "not among the models"},
		{"falling budget and changed name", bytes.Replace(document(2, 1, mill.WithBudget(99)), []byte("wondimu"), []byte("ibumba"), 1), "malformed", `expected "wondimu" as before; account mill: budget 99, expected 100 or more`},
		{"second", document(2, 1, mill.WithBudget(150).WithTopup("march", 5)), "", ""},
		{"first resent after the second", one, "", ""},
		{"other first after the second", document(1, 0, mill.WithWeight(2)), "conflict", "version 2 is in force"},
		{"top-up vanishes", document(3, 2, mill.WithBudget(150)), "malformed", "top-up march of 5 tokens was accepted and is missing or changed"},
		{"account removed", document(3, 2), "", ""},
		{"top-up of a removed account", nil, "missing", "account mill"},
		{"account back with less", document(4, 3, mill), "malformed", "expected 150 or more as before it was removed"},
		{"top-up of another account", document(4, 3, account.New("bakery", 0).WithTopup("march", 5)), "malformed", "top-up march was accepted with 5 tokens for account mill"},
		{"account back", document(4, 3, mill.WithBudget(150)), "", ""},
	} {
		before := b.state.version()
		command := configure(step.document)
		if step.document == nil {
			command = topup("april", "mill", 1)
		}
		reply := b.apply(command)
		if got := reply.GetFault().GetCode(); got != step.code || !strings.Contains(reply.GetFault().GetText(), step.text) {
			t.Errorf("%s: got %q %s, want %q %s", step.name, got, reply.GetFault().GetText(), step.code, step.text)
		}
		if got := b.state.version(); step.code != "" && got != before {
			t.Errorf("%s: got version %d, want %d", step.name, got, before)
		}
	}
	if got, want := b.pool(), "150+5=155+[]+0"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// A change that is sent as sections must be as safe to resend as a document,
// also when its base is gone.
func TestSections(t *testing.T) {
	b := newBench(t)
	b.must(configure(document(1, 0, account.New("mill", 100))))
	change := func(version, replaces uint64, budget int64) *wire.Command {
		next, err := configuration.Parse(document(9, 1, account.New("mill", budget)))
		if err != nil {
			t.Fatal(err)
		}
		return &wire.Command{Change: &wire.Command_Configure{Configure: &wire.Configure{
			Version: version, Replaces: replaces, Sections: next.Changes(b.Configuration())[:1]}}}
	}
	second, racing := change(2, 1, 200), change(2, 1, 300)
	third := change(3, 2, 400)
	low := change(3, 2, 50)
	b.must(second)
	b.must(second)
	reply := b.apply(racing)
	if want := "account mill: budget: 200 -> 300"; reply.GetFault().GetCode() != "conflict" || !strings.Contains(reply.Fault.Text, want) {
		t.Errorf("got %v, want a conflict with %s", reply.Fault, want)
	}
	if got := b.do(low, nil); got != "malformed" {
		t.Errorf("falling budget: got %q, want malformed", got)
	}
	b.must(third)
	b.must(second)
	want, err := configuration.Parse(document(3, 2, account.New("mill", 400)))
	if err != nil {
		t.Fatal(err)
	}
	if got := b.Configuration().Digest(); !bytes.Equal(got, want.Digest()) {
		t.Errorf("got\n%s\nwant\n%s", b.Configuration().Text(), want.Text())
	}
}

// A member that restarts after many changes must serve exactly the content
// that was accepted.
func TestRestartAfterManyChanges(t *testing.T) {
	b := newBench(t)
	accounts := make([]account.Account, 40)
	for i := range accounts {
		accounts[i] = account.New(fmt.Sprintf("account-%d", i), 0)
	}
	for i := range 500 {
		accounts[i%40] = accounts[i%40].WithBudget(int64(i))
		b.must(configure(document(uint64(i+1), uint64(i), accounts...)))
	}
	restarted := newBench(t)
	if err := restarted.Restore(b.Snapshot()); err != nil {
		t.Fatal(err)
	}
	want, err := configuration.Parse(document(500, 499, accounts...))
	if err != nil {
		t.Fatal(err)
	}
	if got := restarted.Configuration().Digest(); !bytes.Equal(got, want.Digest()) {
		t.Errorf("got %x, want %x", got, want.Digest())
	}
	if !bytes.Equal(restarted.Snapshot(), b.Snapshot()) {
		t.Error("the snapshots differ")
	}
}

// A waiter that misses a change serves an old configuration.
func TestChanged(t *testing.T) {
	b := newBench(t)
	isChanged := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	c := b.Changed()
	b.must(configure(document(1, 0)))
	if !isChanged(c) {
		t.Error("version: got no change")
	}
	c = b.Changed()
	b.must(configure(document(1, 0)))
	if isChanged(c) {
		t.Error("resend: got a change")
	}
	b.must(dissolve())
	if !isChanged(c) {
		t.Error("phase: got no change")
	}
}
