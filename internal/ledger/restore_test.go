package ledger

import (
	"errors"
	"maps"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

// repeatCall repeats an earlier idempotent call whose incarnation may have been
// fenced since. The balances must not change.
func (w *model) repeatCall(t *rapid.T) {
	z := w.zone(t)
	if len(z.history) == 0 {
		return
	}
	if err := rapid.SampledFrom(z.history).Draw(t, "call")(); err != nil && !errors.Is(err, fault.Fenced) {
		t.Fatalf("repeated call: %v", err)
	}
}

// merge merges the bills of the other zone, read from its journal.
func (w *model) merge(t *rapid.T, z *zone, from func(*zone) *zone) {
	y := from(z)
	snapshot, position := y.disk.journal.Snapshot()
	records, err := y.disk.journal.Read(position, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	bills, _, err := ExtractBills(y.name, snapshot, records)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := z.attempt(t, true, func() error { return z.ledger.MergeBills(bills) }); err != nil {
		t.Fatalf("merge: %v", err)
	}
	z.history = nil // a retry may find another zone's bill under its identity
	for key, b := range y.billed {
		z.known[key] = true
		mine, ok := z.billed[key]
		if !ok || z.name < y.name {
			continue
		}
		delete(z.billed, key)
		z.balances[b.Account].billed -= mine.Amount
		if z.recovering[b.Account] {
			z.balances[b.Account].stranded += mine.Amount
		} else {
			z.balances[b.Account].free += mine.Amount
		}
	}
}

// restore loses the disk of a zone and restores a copy that lacks the last
// records. The entry instances have retained their bills.
func (w *model) restore(t *rapid.T) {
	z := w.zone(t)
	if !rapid.Bool().Draw(t, "lost") {
		return // with more than a few restores no tokens are left to spend
	}
	old := z.disk.journal
	snapshot, first := old.Snapshot()
	records, err := old.Read(first, rapid.IntRange(0, int(old.Next()-first)).Draw(t, "tail"))
	if err != nil {
		t.Fatal(err)
	}
	_ = old.Close()
	z.disk = newDisk(t)
	j, err := journal.Open(journal.Config{Path: z.disk.path, Sync: z.disk.sync})
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Reset(snapshot, first); err != nil {
		t.Fatal(err)
	}
	if _, err := j.Append(records); err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	z.ledger = z.disk.open(t, z.name, clock)
	z.beginEpoch(t, w)
}

func (z *zone) beginEpoch(t *rapid.T, w *model) {
	z.epoch++
	z.confirmed = 0
	clear(z.pending)
	z.history = nil
	steps := []func() error{func() error { return z.ledger.BeginEpoch(z.epoch) }}
	for _, a := range accounts {
		b := z.balances[a]
		b.free, b.allowances, b.stranded = 0, 0, b.free+b.allowances+b.stranded
		z.recovering[a] = true
		steps = append(steps, func() error { return z.ledger.Align(a, b.granted) })
	}
	for e, h := range z.holdings {
		z.held[e] = map[string]int64{}
		z.holdings[e] = holding(e, h.Incarnation+1)
	}
	z.fencedHoldings = nil // fences after the end of the copy are lost; the new epoch replaces them
	kept := make([]*wire.Bill, 0, len(z.acknowledged))
	for _, b := range z.acknowledged {
		kept = append(kept, b)
	}
	steps = append(steps, func() error { return z.ledger.SettleRetained(z.epoch-1, kept) })
	for i, step := range steps {
		if _, err := z.attempt(t, true, step); err != nil {
			t.Fatalf("step %d after a restore: %v", i, err)
		}
		if i == 0 {
			w.merge(t, z, w.other)
		}
	}
}

func (w *model) free(t *rapid.T) {
	z := w.zone(t)
	for _, a := range accounts {
		if _, err := z.attempt(t, true, func() error { return z.ledger.FreeStranded(a) }); err != nil {
			t.Fatalf("free: %v", err)
		}
		b := z.balances[a]
		b.free, b.stranded = b.free+b.stranded, 0
		z.recovering[a] = false
	}
}

// check compares the balances of both zones with the model.
func (w *model) check(t *rapid.T) {
	sums := maps.Clone(w.unassigned)
	for _, z := range w.zones {
		if got := z.ledger.Violations(); got != 0 {
			t.Fatalf("zone %s: %d violations", z.name, got)
		}
		if got, want := len(z.ledger.Released()), len(z.pending); got != want {
			t.Fatalf("zone %s: %d releases listed, want %d", z.name, got, want)
		}
		for _, a := range accounts {
			got := &wire.Tally{}
			if tallies := z.ledger.Tally(a); len(tallies) > 0 {
				got = tallies[0]
			}
			want := z.balances[a]
			if got.Granted-got.Released != want.granted || got.Free != want.free || got.Allowances != want.allowances ||
				got.Billed != want.billed || got.Stranded != want.stranded || int(got.Requests) != z.requestCount(a) {
				t.Fatalf("zone %s, account %s: got %v, want %v, %d requests", z.name, a, got, *want, z.requestCount(a))
			}
			sums[a] += got.Free + got.Allowances + got.Billed + got.Stranded
		}
	}
	for a, got := range sums {
		if got != prepaid {
			t.Fatalf("account %s: sum over the zones: got %d, want %d", a, got, prepaid)
		}
	}
}

func (z *zone) requestCount(a string) int {
	n := 0
	for _, b := range z.billed {
		if b.Account == a {
			n++
		}
	}
	return n
}

// checkBilledOnce checks that each acknowledged request is billed exactly once.
func (w *model) checkBilledOnce(t *rapid.T) {
	seen := map[string]bool{}
	for _, z := range w.zones {
		for _, a := range accounts {
			for _, b := range z.ledger.Bills(a, 0, 1<<20) {
				key := a + "/" + b.Request
				if seen[key] {
					t.Errorf("%s is billed twice", key)
				}
				seen[key] = true
			}
		}
	}
	for _, z := range w.zones {
		for key := range z.acknowledged {
			if !seen[key] {
				t.Errorf("%s was acknowledged in zone %s and is not billed", key, z.name)
			}
		}
	}
}
