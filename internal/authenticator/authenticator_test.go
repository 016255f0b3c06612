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

func hashKey(key string) string { return account.Hash([]byte("salt of "+key), key) }

// newConfiguration returns a configuration with the given accounts, one operator
// and one group.
func newConfiguration(t testing.TB, accounts ...account.Account) *configuration.Configuration {
	t.Helper()
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	v := venture.New("wondimu", start, start.AddDate(1, 0, 0)).
		WithOperator("sara", hashKey("key of sara")).
		WithGroups(group.New("gpu-", group.Engine).WithKey(hashKey("key of gpu"))).
		WithAccounts(accounts...)
	c, err := configuration.Parse(printer.Text(v))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newAccounts(n int) []account.Account {
	list := make([]account.Account, n)
	for i := range list {
		list[i] = account.New(fmt.Sprintf("account-%d", i), 1).WithKeys(hashKey(fmt.Sprintf("key %d", i)))
	}
	return list
}

// A key that maps to another account spends the budget of that account.
func TestKeyOwners(t *testing.T) {
	a := New(Config{})
	if _, err := a.Account("key 1"); err == nil || fault.Of(err) != fault.Unauthorized {
		t.Errorf("without a configuration: got %v, want unauthorized", err)
	}
	a.Apply(newConfiguration(t, newAccounts(3)...))
	for range 2 { // the second time from the cache
		for key, want := range map[string]string{
			"key 0": "account-0", "key 2": "account-2", "key 3": "", "": "", "key of sara": "", "key of gpu": "", strings.Repeat("k", maxKeyLength+1): "",
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
			t.Errorf("operator for the key of an account: got %q, want an error", got)
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

// A cached key must not give access to an account that was removed.
func TestChangedConfiguration(t *testing.T) {
	a := New(Config{})
	original := newAccounts(2)
	a.Apply(newConfiguration(t, original...))
	for _, key := range []string{"key 0", "key 1"} {
		if _, err := a.Account(key); err != nil {
			t.Fatal(err)
		}
	}
	moved := account.New("moved", 1).WithKeys(account.Hash([]byte("other salt"), "key 1"))
	a.Apply(newConfiguration(t, original[0].WithBudget(7), moved))
	if got, err := a.Account("key 0"); err != nil || got.Budget != 7 {
		t.Errorf("changed account: got %v %v, want budget 7", got, err)
	}
	if got, err := a.Account("key 1"); err != nil || got.Name != "moved" {
		t.Errorf("moved key: got %v %v, want moved", got, err)
	}
	a.Apply(newConfiguration(t))
	if got, err := a.Account("key 0"); err == nil {
		t.Errorf("removed account: got %v, want an error", got)
	}
}

// Without a limit, cached keys exhaust the memory.
func TestCacheSize(t *testing.T) {
	a := New(Config{CacheSize: 4})
	a.Apply(newConfiguration(t, newAccounts(20)...))
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() {
			if got, err := a.Account(fmt.Sprintf("key %d", i)); err != nil || got.Name != fmt.Sprintf("account-%d", i) {
				t.Errorf("key %[1]d: got %[2]q %[3]v, want account-%[1]d", i, got.Name, err)
			}
		})
	}
	wait.Wait()
	if got := len(a.cache); got != 4 {
		t.Errorf("cached keys: got %d, want 4", got)
	}
}

// A flood of unknown keys must not use all cores, nor block cached keys.
func TestScansAreBounded(t *testing.T) {
	a := New(Config{})
	a.Apply(newConfiguration(t, newAccounts(1)...))
	if _, err := a.Account("key 0"); err != nil {
		t.Fatal(err)
	}
	a.pendingScans.Store(maxPendingScans)
	if _, err := a.Account("unknown"); err == nil || fault.Of(err) != fault.Overloaded {
		t.Errorf("unknown key: got %v, want overloaded", err)
	}
	if _, err := a.Account("key 0"); err != nil {
		t.Errorf("cached key: got %v, want success", err)
	}
}

func BenchmarkAccount(b *testing.B) {
	for _, n := range []int{10, 3700} {
		a := New(Config{})
		c := newConfiguration(b, newAccounts(n)...)
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
					b.Fatal("unknown key: got an owner, want an error")
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
