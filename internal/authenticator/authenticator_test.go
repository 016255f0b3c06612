package authenticator

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

func hash(key string) string { return account.Hash([]byte("salt of "+key), key) }

// parse returns a configuration with accounts that have one key each.
func parse(t testing.TB, accounts ...account.Account) *configuration.Configuration {
	t.Helper()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := venture.New("wondimu", start, start.AddDate(1, 0, 0)).
		WithOperator("sara", hash("key of sara")).
		WithGroups(group.New("gpu-", group.Engine).WithKey(hash("key of gpu"))).
		WithAccounts(accounts...)
	c, err := configuration.Parse(printer.Text(v))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func accounts(n int) []account.Account {
	list := make([]account.Account, n)
	for i := range list {
		list[i] = account.New(fmt.Sprintf("account-%d", i), 1).WithKeys(hash(fmt.Sprintf("key %d", i)))
	}
	return list
}

// A key that opens another account spends its budget.
func TestKeys(t *testing.T) {
	a := New(Config{})
	if _, err := a.Account("key 1"); err == nil || fault.Of(err) != fault.Unauthorized {
		t.Errorf("without a configuration: got %v, want unauthorized", err)
	}
	a.Apply(parse(t, accounts(3)...))
	for range 2 { // the second time from the known keys
		for key, want := range map[string]string{
			"key 0": "account-0", "key 2": "account-2", "key 3": "", "": "", "key of sara": "", "key of gpu": "", strings.Repeat("k", maxKey+1): "",
		} {
			got, err := a.Account(key)
			if got.Name != want || (err != nil) != (want == "") {
				t.Errorf("account of %.20q: got %q %v, want %q", key, got.Name, err, want)
			}
			if err != nil && (fault.Of(err) != fault.Unauthorized || key != "" && strings.Contains(err.Error(), key)) {
				t.Errorf("account of %.20q: got %v, want unauthorized without the key", key, err)
			}
		}
		if got, err := a.Operator("key of sara"); got != "sara" || err != nil {
			t.Errorf("operator: got %q %v, want sara", got, err)
		}
		if got, err := a.Operator("key 0"); err == nil {
			t.Errorf("operator by the key of an account: got %q, want an error", got)
		}
	}
	for _, test := range []struct{ target, key, want string }{
		{"gpu-1", "key of gpu", "gpu-"}, {"gpu-1", "key 0", ""}, {"app-1", "key of gpu", ""}, {"gpu-1", "", ""},
	} {
		g, err := a.Group(test.target, test.key)
		if g.Name != test.want || (err != nil) != (test.want == "") {
			t.Errorf("group of %s: got %q %v, want %q", test.target, g.Name, err, test.want)
		}
	}
}

// A known key that outlives its removal keeps a removed account open.
func TestChangedConfiguration(t *testing.T) {
	a := New(Config{})
	list := accounts(2)
	a.Apply(parse(t, list...))
	for _, key := range []string{"key 0", "key 1"} {
		if _, err := a.Account(key); err != nil {
			t.Fatal(err)
		}
	}
	moved := account.New("moved", 1).WithKeys(account.Hash([]byte("other salt"), "key 1"))
	a.Apply(parse(t, list[0].WithBudget(7), moved))
	if got, err := a.Account("key 0"); err != nil || got.Budget != 7 {
		t.Errorf("changed account: got %v %v, want budget 7", got, err)
	}
	if got, err := a.Account("key 1"); err != nil || got.Name != "moved" {
		t.Errorf("moved key: got %v %v, want moved", got, err)
	}
	a.Apply(parse(t))
	if got, err := a.Account("key 0"); err == nil {
		t.Errorf("removed account: got %v, want an error", got)
	}
}

// Known keys without a bound fill the memory.
func TestLimit(t *testing.T) {
	a := New(Config{CacheSize: 4})
	a.Apply(parse(t, accounts(20)...))
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() {
			if got, err := a.Account(fmt.Sprintf("key %d", i)); err != nil || got.Name != fmt.Sprintf("account-%d", i) {
				t.Errorf("key %d: got %q %v", i, got.Name, err)
			}
		})
	}
	wait.Wait()
	if got := len(a.known); got != 4 {
		t.Errorf("known keys: got %d, want 4", got)
	}
}

// A flood of unknown keys must not take all cores.
func TestScansAreBounded(t *testing.T) {
	a := New(Config{})
	a.Apply(parse(t, accounts(1)...))
	if _, err := a.Account("key 0"); err != nil {
		t.Fatal(err)
	}
	a.scans.Store(maxScans)
	if _, err := a.Account("unknown"); err == nil || fault.Of(err) != fault.Overloaded {
		t.Errorf("unknown key: got %v, want overloaded", err)
	}
	if _, err := a.Account("key 0"); err != nil {
		t.Errorf("known key: got %v, want success", err)
	}
}

func BenchmarkAccount(b *testing.B) {
	for _, n := range []int{10, 3700} {
		a := New(Config{})
		c := parse(b, accounts(n)...)
		a.Apply(c)
		keys := make([]string, n)
		for i := range keys {
			keys[i] = fmt.Sprintf("key %d", i)
			if _, err := a.Account(keys[i]); err != nil {
				b.Fatal(err)
			}
		}
		b.Run(fmt.Sprintf("known/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if _, err := a.Account(keys[i%n]); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("unknown/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := a.Account("unknown"); err == nil {
					b.Fatal("found an unknown key")
				}
			}
		})
		b.Run(fmt.Sprintf("use/%d", n), func(b *testing.B) {
			for range b.N {
				a.Apply(c)
			}
		})
	}
}
