package lender_test

import "testing"

// BenchmarkLoan measures borrowing for one request and repaying, without a
// network.
func BenchmarkLoan(b *testing.B) {
	f := newFleet(72, 1<<50, true)
	for range 4 {
		f.syncAll(0)
	}
	e := f.instances["e0"]
	if zone, _, _ := e.lender.DemandShare(account); zone > 0 {
		b.Fatal("e0 is a lender, want a borrower")
	}
	for b.Loop() {
		r, err := f.reserve("e0", 2000)
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(0)
		e.lender.Return(b.Context(), e.spender.TakeSurplus(func(string) bool { return false }))
	}
}
