package controller

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
)

// accountCounts are the current number of accounts, and the numbers of client
// accounts and of prepaid budgets at the planned size.
var accountCounts = []int{10, 3700, 190_000}

// newFilledHarness returns a controller with grants to all zones from each of
// the given number of budgets.
func newFilledHarness(b *testing.B, budgets int) *harness {
	accounts := make([]account.Account, budgets)
	for i := range accounts {
		accounts[i] = account.New(fmt.Sprintf("account-%06d", i), 1_000_000).
			WithKeys(account.Hash([]byte("saltsalt"), fmt.Sprint(i)))
	}
	c := newHarness(b)
	m := configure(document(1, 0, accounts...))
	m.GetConfigure().Zones = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	c.must(m)
	for sequence, a := range accounts {
		for _, zone := range m.GetConfigure().Zones {
			c.must(&wire.Command{Change: &wire.Command_Grant{Grant: &wire.Grant{
				Account: a.Name, Zone: zone, Epoch: 1, Sequence: uint64(sequence), Confirmed: uint64(max(sequence, 8) - 8)}}})
		}
	}
	return c
}

func heapMiB() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

func BenchmarkController(b *testing.B) {
	for _, n := range accountCounts {
		before := heapMiB()
		c := newFilledHarness(b, n)
		size := heapMiB() - before
		next := uint64(1_000_000)
		b.Run(fmt.Sprintf("grant/%d", n), func(b *testing.B) {
			for range b.N {
				next++
				c.Apply(next, encode(&wire.Command{Change: &wire.Command_Grant{Grant: &wire.Grant{
					Account: "account-000007", Zone: "a", Epoch: 1, Sequence: next, Want: 1, Confirmed: next - 8}}}))
			}
			b.ReportMetric(size, "MiB-heap")
		})
		b.Run(fmt.Sprintf("configure/%d", n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				old := c.Configuration()
				a, _ := old.Account("account-000007")
				changed, err := old.With(nil, old.Version()+1)
				if err != nil {
					b.Fatal(err)
				}
				m := &wire.Configure{Version: changed.Version(), Replaces: old.Version(), Sections: sections(b, a.WithBudget(a.Budget+1))}
				b.StartTimer()
				c.must(&wire.Command{Change: &wire.Command_Configure{Configure: m}})
			}
		})
		snapshot := c.Snapshot()
		b.Run(fmt.Sprintf("snapshot/%d", n), func(b *testing.B) {
			for range b.N {
				c.Snapshot()
			}
			b.ReportMetric(float64(len(snapshot)), "B-snapshot")
		})
		b.Run(fmt.Sprintf("restore/%d", n), func(b *testing.B) {
			for range b.N {
				if err := New(Config{}).Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// sections returns a configuration section for an account.
func sections(b *testing.B, a account.Account) []*wire.Section {
	c, err := configuration.Parse(document(1, 0, a))
	if err != nil {
		b.Fatal(err)
	}
	return c.Sections()[1:]
}
