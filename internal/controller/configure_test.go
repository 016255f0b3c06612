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

// Reporting success for a conflicting version makes an operator believe that
// the change took effect. Reporting a conflict for a resend of an accepted
// version has the opposite effect.
func TestConfigureVersions(t *testing.T) {
	h := newHarness(t)
	mill := account.New("mill", 100)
	one := document(1, 0, mill)
	for _, step := range []struct {
		name     string
		document []byte
		code     string
		text     string
	}{
		{"replaces a missing first version", document(2, 1, mill), "conflict", "no version has been accepted"},
		{"malformed", []byte("version = 1\ncolour = 2"), "malformed", "line 2: colour: unknown key"},
		{"first", one, "", ""},
		{"first resent", one, "", ""},
		{"equal version", document(1, 0, mill.WithWeight(2)), "conflict", "version 1 was accepted with different content; differences from version 1: account mill: weight: 1 -> 2"},
		{"wrong replaces", document(3, 2, mill), "conflict", "version 3 replaces version 2, but the current version is 1; differences from version 1: none"},
		{"rejected", document(2, 1, mill.WithBudget(99), account.New("bakery", 1).WithModels("x")), "malformed", "not among the models"},
		{"lower budget and changed name", bytes.Replace(document(2, 1, mill.WithBudget(99)), []byte("wondimu"), []byte("ibumba"), 1), "malformed", `expected "wondimu" as before; account mill: budget 99, expected 100 or more`},
		{"second", document(2, 1, mill.WithBudget(150).WithTopup("march", 5)), "", ""},
		{"first resent after the second", one, "", ""},
		{"different first after the second", document(1, 0, mill.WithWeight(2)), "conflict", "the current version is 2"},
		{"top-up removed", document(3, 2, mill.WithBudget(150)), "malformed", "top-up march of 5 tokens was accepted and is missing or changed"},
		{"account removed", document(3, 2), "", ""},
		{"top-up of a removed account", nil, "missing", "account mill"},
		{"account restored with a lower budget", document(4, 3, mill), "malformed", "expected 150 or more, its budget before removal"},
		{"top-up of another account", document(4, 3, account.New("bakery", 0).WithTopup("march", 5)), "malformed", "top-up march was accepted with 5 tokens for account mill"},
		{"account restored", document(4, 3, mill.WithBudget(150)), "", ""},
	} {
		before := h.state.version()
		command := configure(step.document)
		if step.document == nil {
			command = topup("april", "mill", 1)
		}
		reply := h.apply(command)
		if got := reply.GetFault().GetCode(); got != step.code || !strings.Contains(reply.GetFault().GetText(), step.text) {
			t.Errorf("%s: got %q %s, want %q %s", step.name, got, reply.GetFault().GetText(), step.code, step.text)
		}
		if got := h.state.version(); step.code != "" && got != before {
			t.Errorf("%s: got version %d, want %d", step.name, got, before)
		}
	}
	if got, want := h.formatPool(), "150+5=155+[]+0"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// A change sent as sections must be as safe to resend as a document, even after
// its base version has been replaced.
func TestConfigureSections(t *testing.T) {
	h := newHarness(t)
	h.must(configure(document(1, 0, account.New("mill", 100))))
	change := func(version, replaces uint64, budget int64) *wire.Command {
		next, err := configuration.Parse(document(9, 1, account.New("mill", budget)))
		if err != nil {
			t.Fatal(err)
		}
		return &wire.Command{Change: &wire.Command_Configure{Configure: &wire.Configure{
			Version: version, Replaces: replaces, Sections: next.Changes(h.Configuration())[:1]}}}
	}
	second, racing := change(2, 1, 200), change(2, 1, 300)
	third := change(3, 2, 400)
	low := change(3, 2, 50)
	h.must(second)
	h.must(second)
	reply := h.apply(racing)
	if want := "account mill: budget: 200 -> 300"; reply.GetFault().GetCode() != "conflict" || !strings.Contains(reply.Fault.Text, want) {
		t.Errorf("got %v, want a conflict with %s", reply.Fault, want)
	}
	if got := h.do(low, nil); got != "malformed" {
		t.Errorf("lower budget: got %q, want malformed", got)
	}
	h.must(third)
	h.must(second)
	want, err := configuration.Parse(document(3, 2, account.New("mill", 400)))
	if err != nil {
		t.Fatal(err)
	}
	if got := h.Configuration().Digest(); !bytes.Equal(got, want.Digest()) {
		t.Errorf("got\n%s\nwant\n%s", h.Configuration().Text(), want.Text())
	}
}

// A member restarted after many changes must serve exactly the accepted
// content.
func TestRestartAfterManyChanges(t *testing.T) {
	h := newHarness(t)
	accounts := make([]account.Account, 40)
	for i := range accounts {
		accounts[i] = account.New(fmt.Sprintf("account-%d", i), 0)
	}
	for i := range 500 {
		accounts[i%40] = accounts[i%40].WithBudget(int64(i))
		h.must(configure(document(uint64(i+1), uint64(i), accounts...)))
	}
	restarted := newHarness(t)
	if err := restarted.Restore(h.Snapshot()); err != nil {
		t.Fatal(err)
	}
	want, err := configuration.Parse(document(500, 499, accounts...))
	if err != nil {
		t.Fatal(err)
	}
	if got := restarted.Configuration().Digest(); !bytes.Equal(got, want.Digest()) {
		t.Errorf("got %x, want %x", got, want.Digest())
	}
	if !bytes.Equal(restarted.Snapshot(), h.Snapshot()) {
		t.Error("got a different snapshot after the restart, want the same")
	}
}

// A waiter that misses a change would keep serving an old configuration.
func TestChanged(t *testing.T) {
	h := newHarness(t)
	isChanged := func(c <-chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	c := h.Changed()
	h.must(configure(document(1, 0)))
	if !isChanged(c) {
		t.Error("after a new version: channel not closed, want it closed")
	}
	c = h.Changed()
	h.must(configure(document(1, 0)))
	if isChanged(c) {
		t.Error("after a resend: channel closed, want it open")
	}
	h.must(dissolve())
	if !isChanged(c) {
		t.Error("after a change of phase: channel not closed, want it closed")
	}
}
