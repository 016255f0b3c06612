package ledger

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const prepaid = 1000

var accounts = []string{"a", "b"}

// The seed is fixed unless one is given. Short runs rarely reach a compaction
// or a second restore, so that they have 100 steps unless -rapid.steps tells
// otherwise; -rapid.checks makes the test longer.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "100")
	flag.Parse()
	os.Exit(m.Run())
}

// The model keeps what was acknowledged. Lost or repeated tokens, a bill that
// is forgotten or billed twice, and a spend above the budget show as a
// difference between the books and the model.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{unassigned: map[string]int64{}}
		w.fill(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"grant":   w.grant,
			"release": w.release,
			"draw":    w.draw,
			"settle":  w.settle,
			"late":    w.late,
			"return":  w.giveBack,
			"fence":   w.fence,
			"merge":   func(t *rapid.T) { w.merge(t, w.zone(t), w.other) },
			"crash":   func(t *rapid.T) { w.zone(t).restart(t) },
			"restore": w.restore,
			"free":    w.free,
			"again":   w.again,
		})
		for range 2 {
			for _, z := range w.zones {
				w.merge(t, z, w.other)
			}
		}
		w.check(t)
		w.checkOnce(t)
		for _, z := range w.zones {
			_ = z.disk.journal.Close()
		}
	})
}

// fill gives each zone a third of each budget.
func (w *world) fill(t *rapid.T) {
	for i, name := range []string{"x", "y"} {
		w.zones[i] = newZone(t, name)
		for _, a := range accounts {
			w.unassigned[a] = prepaid - int64(i+1)*(prepaid/3)
			w.zones[i].grant(t, a, prepaid/3)
		}
	}
}

type world struct {
	zones      [2]*zone
	unassigned map[string]int64
	requests   uint64
}

// zone is one ledger and what the model knows of it. The books of the model
// have granted without released tokens, as the log does.
type zone struct {
	name      string
	disk      *disk
	ledger    *Ledger
	epoch     uint64
	sequence  uint64
	books     map[string]*books
	recover   map[string]bool
	entries   map[string]*wire.Holding
	held      map[string]map[string]int64 // by instance and account
	late      []*wire.Holding
	own       map[string]*wire.Bill // billed here, by account and request
	known     map[string]bool
	ever      map[string]*wire.Bill // acknowledged here at any time
	confirmed uint64                // releases that the log has applied
	pending   map[uint64]bool       // releases that the ledger must list
	past      []func() error        // idempotent calls of the epoch
}

func newZone(t *rapid.T, name string) *zone {
	z := &zone{
		name: name, epoch: 1, books: map[string]*books{}, recover: map[string]bool{},
		entries: map[string]*wire.Holding{}, held: map[string]map[string]int64{}, own: map[string]*wire.Bill{},
		known: map[string]bool{}, pending: map[uint64]bool{}, ever: map[string]*wire.Bill{},
	}
	for _, a := range accounts {
		z.books[a] = &books{}
	}
	for _, e := range []string{"e1", "e2"} {
		z.entries[e], z.held[e] = holding(e, 1), map[string]int64{}
	}
	z.disk = newDisk(t)
	z.ledger = z.disk.open(t, name, clock)
	return z
}

func clock() time.Time { return time.Unix(1000, 0) }

func (z *zone) restart(t *rapid.T) {
	z.disk.crash(t)
	z.ledger = z.disk.open(t, z.name, clock)
}

// attempt makes a call, sometimes on a disk whose sync fails, in which case
// the process crashes and the call is repeated. A call that succeeded is
// sometimes repeated too, if it is idempotent.
func (z *zone) attempt(t *rapid.T, repeat bool, call func() error) (uncertain bool, err error) {
	z.disk.fail = rapid.IntRange(0, 9).Draw(t, "fail") == 0
	err = call()
	if z.disk.fail {
		// Also after a success, whose compaction may have failed.
		z.restart(t)
	}
	if errors.Is(err, fault.Corrupt) {
		if uncertain = true; !repeat {
			return true, err
		}
		err = call()
	}
	if repeat {
		z.past = append(z.past, call)
	}
	if repeat && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
		if again := call(); fmt.Sprint(again) != fmt.Sprint(err) {
			t.Fatalf("repeated call: got %v, want %v", again, err)
		}
	}
	return uncertain, err
}

func (w *world) zone(t *rapid.T) *zone { return w.zones[rapid.IntRange(0, 1).Draw(t, "zone")] }

// tokens returns an amount. Uniform draws of rapid prefer amounts near 0,
// with which a wrong balance rarely shows.
func tokens(t *rapid.T, label string) int64 {
	return rapid.SampledFrom([]int64{0, 1, 9, 40, 150, prepaid}).Draw(t, label)
}

func (w *world) other(z *zone) *zone {
	if z == w.zones[0] {
		return w.zones[1]
	}
	return w.zones[0]
}

func (w *world) pick(t *rapid.T) (z *zone, a, e string) {
	return w.zone(t), rapid.SampledFrom(accounts).Draw(t, "account"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry")
}

func (w *world) grant(t *rapid.T) {
	z, a, _ := w.pick(t)
	amount := min(w.unassigned[a], tokens(t, "amount"))
	z.grant(t, a, amount)
	w.unassigned[a] -= amount
}

func (z *zone) grant(t *rapid.T, a string, amount int64) {
	z.sequence++
	sequence := z.sequence
	if _, err := z.attempt(t, true, func() error { return z.ledger.Grant(a, sequence, amount) }); err != nil {
		t.Fatalf("grant: %v", err)
	}
	z.books[a].granted += amount
	z.books[a].free += amount
}

func (w *world) release(t *rapid.T) {
	z, a, _ := w.pick(t)
	amount := tokens(t, "amount")
	want := min(amount, z.books[a].free)
	uncertain, err := z.attempt(t, false, func() error {
		_, got, err := z.ledger.Release(a, amount)
		if err == nil && got != want {
			t.Fatalf("release: got %d, want %d", got, want)
		}
		return err
	})
	if err != nil && !uncertain {
		t.Fatalf("release: %v", err)
	}
	for _, r := range z.ledger.Released() {
		if r.Sequence > z.confirmed {
			z.confirmed = r.Sequence
			z.pending[r.Sequence] = true
			w.unassigned[r.Account] += r.Amount
			z.books[r.Account].granted -= r.Amount
			z.books[r.Account].free -= r.Amount
		}
		if rapid.Bool().Draw(t, "confirm") {
			if _, err := z.attempt(t, true, func() error { return z.ledger.Confirm(r.Sequence) }); err != nil {
				t.Fatalf("confirm: %v", err)
			}
			delete(z.pending, r.Sequence)
		}
	}
}

func (w *world) draw(t *rapid.T) {
	z, a, e := w.pick(t)
	w.drawFor(t, z, a, e)
}

func (w *world) drawFor(t *rapid.T, z *zone, a, e string) {
	need, want := 1+tokens(t, "need"), tokens(t, "want")
	b := z.books[a]
	var got, held int64
	call := func() (err error) {
		got, held, err = z.ledger.Draw(z.entries[e], a, need, want, 0)
		return err
	}
	uncertain, err := z.attempt(t, false, call)
	if uncertain {
		// The allowance may have been issued; the next draw tells.
		err = call()
		lost := held - got - z.held[e][a]
		b.free -= lost
		b.allowances += lost
		z.held[e][a] += lost
	}
	if got > 0 || errors.Is(err, fault.Exhausted) {
		if want := z.held[e][a] + got; held != want {
			t.Fatalf("draw: got %d tokens held, want %d", held, want)
		}
	}
	switch {
	case b.free < need:
		if !errors.Is(err, fault.Exhausted) {
			t.Fatalf("draw: got %d, %v, want %v", got, err, fault.Exhausted)
		}
	case err != nil || got < need || got > b.free:
		t.Fatalf("draw: got %d, %v, want %d to %d", got, err, need, b.free)
	default:
		b.free -= got
		b.allowances += got
		z.held[e][a] += got
	}
}

func (w *world) settle(t *rapid.T) {
	z, a, e := w.pick(t)
	if z.held[e][a] == 0 {
		w.drawFor(t, z, a, e)
	}
	var bills []*wire.Bill
	for range rapid.IntRange(1, 3).Draw(t, "bills") {
		a := rapid.SampledFrom(accounts).Draw(t, "account")
		amount := min(z.held[e][a]+1, tokens(t, "amount"))
		bills = append(bills, w.bill(t, a, amount))
	}
	h, epoch := z.entries[e], z.epoch
	var got []wire.Outcome
	uncertain, err := z.attempt(t, true, func() error {
		outcomes, _, err := z.ledger.Settle(h, epoch, bills)
		if got == nil {
			got = outcomes
		}
		return err
	})
	if err != nil {
		t.Fatalf("settle: %v", err)
	}
	var accepted []*wire.Bill
	for i, b := range bills {
		want := z.expect(e, b)
		// The first attempt may have been durable in part of its batches.
		if got[i] != want && (!uncertain || want != billed || got[i] != duplicate) {
			t.Fatalf("settle %s %s %d: got %v, want %v", b.Account, b.Request, b.Amount, got[i], want)
		}
		if want == billed {
			accepted = append(accepted, b)
		}
	}
	// A refused bill may be accepted later.
	z.past[len(z.past)-1] = func() error {
		_, _, err := z.ledger.Settle(h, epoch, accepted)
		return err
	}
}

// expect returns the outcome of a bill and takes it into the model.
func (z *zone) expect(e string, b *wire.Bill) wire.Outcome {
	key := b.Account + "/" + b.Request
	if z.known[key] {
		return duplicate
	}
	if b.Amount > z.held[e][b.Account] {
		return refused
	}
	z.held[e][b.Account] -= b.Amount
	z.books[b.Account].allowances -= b.Amount
	z.books[b.Account].billed += b.Amount
	z.known[key], z.own[key], z.ever[key] = true, b, b
	return billed
}

// bill returns a bill of a new request or of an earlier one.
func (w *world) bill(t *rapid.T, a string, amount int64) *wire.Bill {
	w.requests++
	n := rapid.Uint64Range(w.requests-min(w.requests, 5), w.requests).Draw(t, "request")
	b := bill(fmt.Sprint(n), amount)
	b.Account = a
	return b
}

// late is a settle of a fenced incarnation or of an old epoch.
func (w *world) late(t *rapid.T) {
	z, a, _ := w.pick(t)
	if len(z.late) == 0 {
		return
	}
	b := w.bill(t, a, 1)
	h := rapid.SampledFrom(z.late).Draw(t, "holding")
	want := fenced
	if z.known[a+"/"+b.Request] {
		want = duplicate
	}
	got, _, err := z.ledger.Settle(h, z.epoch, []*wire.Bill{b})
	if err != nil || got[0] != want {
		t.Fatalf("late settle: got %v, %v, want %v", got, err, want)
	}
	if err := z.ledger.Return(h, a, z.epoch, 1, 1000); !errors.Is(err, fault.Fenced) {
		t.Fatalf("late return: got %v, want %v", err, fault.Fenced)
	}
}

func (w *world) giveBack(t *rapid.T) {
	z, a, e := w.pick(t)
	amount := min(z.held[e][a], tokens(t, "amount"))
	if amount == 0 {
		return
	}
	z.sequence++
	h, epoch, sequence := z.entries[e], z.epoch, z.sequence
	if _, err := z.attempt(t, true, func() error { return z.ledger.Return(h, a, epoch, amount, sequence) }); err != nil {
		t.Fatalf("return: %v", err)
	}
	z.held[e][a] -= amount
	z.books[a].allowances -= amount
	z.books[a].free += amount
}

func (w *world) fence(t *rapid.T) {
	z, _, e := w.pick(t)
	z.fence(t, e)
}

func (z *zone) fence(t *rapid.T, e string) {
	h := z.entries[e]
	if _, err := z.attempt(t, true, func() error { return z.ledger.Fence(e, h.Incarnation) }); err != nil {
		t.Fatalf("fence: %v", err)
	}
	for a, amount := range z.held[e] {
		z.books[a].allowances -= amount
		z.books[a].free += amount
	}
	z.held[e] = map[string]int64{}
	z.late = append(z.late, h)
	z.entries[e] = holding(e, h.Incarnation+1)
}
