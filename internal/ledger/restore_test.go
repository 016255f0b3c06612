package ledger

import (
	"errors"
	"maps"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

// again repeats an idempotent call of any age, whose incarnation may have been
// fenced since. The books must not change.
func (w *world) again(t *rapid.T) {
	z := w.zone(t)
	if len(z.past) == 0 {
		return
	}
	if err := rapid.SampledFrom(z.past).Draw(t, "call")(); err != nil && !errors.Is(err, fault.Fenced) {
		t.Fatalf("repeated call: %v", err)
	}
}

// merge passes the bills of the other zone, read from its journal.
func (w *world) merge(t *rapid.T, z *zone, from func(*zone) *zone) {
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
	z.past = nil // a retry may find another bill under its identity
	for key, b := range y.own {
		z.known[key] = true
		mine, ok := z.own[key]
		if !ok || z.name < y.name {
			continue
		}
		delete(z.own, key)
		z.books[b.Account].billed -= mine.Amount
		if z.recover[b.Account] {
			z.books[b.Account].stranded += mine.Amount
		} else {
			z.books[b.Account].free += mine.Amount
		}
	}
}

// restore loses the disk of a zone and takes a copy that ends before the last
// records, whose bills the entry instances have kept.
func (w *world) restore(t *rapid.T) {
	z := w.zone(t)
	if !rapid.Bool().Draw(t, "lost") {
		return // more than a few restores leave no rights to spend
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
	z.begin(t, w)
}

func (z *zone) begin(t *rapid.T, w *world) {
	z.epoch++
	z.confirmed = 0
	clear(z.pending)
	z.past = nil
	steps := []func() error{func() error { return z.ledger.BeginEpoch(z.epoch) }}
	for _, a := range accounts {
		b := z.books[a]
		b.free, b.allowances, b.stranded = 0, 0, b.free+b.allowances+b.stranded
		z.recover[a] = true
		steps = append(steps, func() error { return z.ledger.Align(a, b.granted) })
	}
	for e, h := range z.entries {
		z.held[e] = map[string]int64{}
		z.entries[e] = holding(e, h.Incarnation+1)
	}
	z.late = nil // the fences after the tail are lost, the epoch bars them
	kept := make([]*wire.Bill, 0, len(z.ever))
	for _, b := range z.ever {
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

func (w *world) free(t *rapid.T) {
	z := w.zone(t)
	for _, a := range accounts {
		if _, err := z.attempt(t, true, func() error { return z.ledger.FreeStranded(a) }); err != nil {
			t.Fatalf("free: %v", err)
		}
		b := z.books[a]
		b.free, b.stranded = b.free+b.stranded, 0
		z.recover[a] = false
	}
}

// check compares the books of both zones with the model.
func (w *world) check(t *rapid.T) {
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
			want := z.books[a]
			if got.Granted-got.Released != want.granted || got.Free != want.free || got.Allowances != want.allowances ||
				got.Billed != want.billed || got.Stranded != want.stranded || int(got.Requests) != z.count(a) {
				t.Fatalf("zone %s, account %s: got %v, want %v, %d requests", z.name, a, got, *want, z.count(a))
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

func (z *zone) count(a string) int {
	n := 0
	for _, b := range z.own {
		if b.Account == a {
			n++
		}
	}
	return n
}

// checkOnce compares the bills with the acknowledged requests.
func (w *world) checkOnce(t *rapid.T) {
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
		for key := range z.ever {
			if !seen[key] {
				t.Errorf("%s was acknowledged in zone %s and is not billed", key, z.name)
			}
		}
	}
}
