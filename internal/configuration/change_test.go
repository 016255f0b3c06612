package configuration

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

// drawAccount returns a random account, which may conflict with others or refer
// to unknown models.
func drawAccount(t *rapid.T, name string) account.Account {
	pick := func(label string, from ...string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(from), 0, 1, rapid.ID).Draw(t, label)
	}
	a := account.New(name, rapid.Int64Range(-1, 20).Draw(t, "budget"))
	for _, key := range pick("key", "k0", "k1", "k2", "k3", "k4", "k5") {
		a = a.WithKeys(account.Hash([]byte("saltsalt"), key))
	}
	for _, topup := range pick("topup", "t0", "t1", "t2", "t3", "t4", "t5") {
		a = a.WithTopup(topup, 1)
	}
	return a.WithModels(pick("model", "m1", "m2", "m3", "m4", "m5", "m6")...)
}

// The incremental check of edited accounts must accept exactly what Parse
// accepts and give the same digest. Otherwise a change bypasses checks, or
// instances have different configurations with the same version.
func TestEditsMatchParse(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	base := venture.New("wondimu", start, start.AddDate(1, 0, 0))
	for _, name := range []string{"m1", "m2", "m3", "m4", "m5"} {
		base = base.WithModels(model.New(name, 1, 1))
	}
	rapid.Check(t, func(t *rapid.T) {
		accounts := map[string]account.Account{}
		all := func(version uint64) venture.Venture {
			v := base.WithVersion(version, version-1)
			for _, a := range accounts {
				v = v.WithAccounts(a)
			}
			return v
		}
		for i, name := range []string{"a", "b", "c"} {
			key := account.Hash([]byte("saltsalt"), fmt.Sprint("k", i))
			accounts[name] = account.New(name, 1).WithKeys(key).WithTopup(fmt.Sprint("t", i), 1)
		}
		c, err := Parse(printer.Text(all(1)))
		if err != nil {
			t.Fatal(err)
		}
		var sections []*wire.Section
		for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "d", "e"}), 0, 3, rapid.ID).Draw(t, "edited") {
			s := &wire.Section{Kind: accountKind, Name: name}
			delete(accounts, name)
			if !rapid.Bool().Draw(t, "remove") {
				accounts[name] = drawAccount(t, name)
				s.Text = printer.Account(accounts[name])
			}
			sections = append(sections, s)
		}
		want, wantErr := Parse(printer.Text(all(2)))
		got, gotErr := c.With(sections, 2)
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("With: got error %v, want %v as from Parse", gotErr, wantErr)
		}
		if gotErr != nil {
			return
		}
		again, err := c.With(want.Changes(c), 2)
		if err != nil || !bytes.Equal(again.Digest(), want.Digest()) || !bytes.Equal(got.Digest(), want.Digest()) {
			t.Fatalf("With: got %v\n%s\nwant\n%s", err, got.Text(), want.Text())
		}
		if lines := got.Diff(want); len(lines) != 0 {
			t.Fatalf("diff: got %q, want none", lines)
		}
	})
}
