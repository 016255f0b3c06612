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

// Use a fixed seed and 100 steps by default, since shorter runs rarely reach a
// compaction or a second restore. The flags -rapid.seed and -rapid.steps
// override these; -rapid.checks runs more cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "100")
	flag.Parse()
	os.Exit(m.Run())
}

// The model tracks the acknowledged calls. Lost or duplicated tokens, a lost
// bill or one billed twice, and overspending show up as a difference between
// the ledgers and the model.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{unassigned: map[string]int64{}}
		w.grantInitial(t)
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"grant":   w.grant,
			"release": w.release,
			"draw":    w.draw,
			"settle":  w.settle,
			"late":    w.settleFenced,
			"return":  w.returnTokens,
			"fence":   w.fence,
			"merge":   func(t *rapid.T) { w.merge(t, w.zone(t), w.other) },
			"crash":   func(t *rapid.T) { w.zone(t).restart(t) },
			"restore": w.restore,
			"free":    w.free,
			"again":   w.repeatCall,
		})
		for range 2 {
			for _, z := range w.zones {
				w.merge(t, z, w.other)
			}
		}
		w.check(t)
		w.checkBilledOnce(t)
		for _, z := range w.zones {
			_ = z.disk.journal.Close()
		}
	})
}

// grantInitial grants each zone a third of each budget.
func (w *model) grantInitial(t *rapid.T) {
	for i, name := range []string{"x", "y"} {
		w.zones[i] = newZone(t, name)
		for _, a := range accounts {
			w.unassigned[a] = prepaid - int64(i+1)*(prepaid/3)
			w.zones[i].grant(t, a, prepaid/3)
		}
	}
}

type model struct {
	zones      [2]*zone
	unassigned map[string]int64
	requests   uint64
}

// zone is a ledger together with its expected state. The expected granted
// balance excludes released tokens, as in the replicated log.
type zone struct {
	name           string
	disk           *disk
	ledger         *Ledger
	epoch          uint64
	sequence       uint64
	balances       map[string]*balances
	recovering     map[string]bool
	holdings       map[string]*wire.Holding
	held           map[string]map[string]int64 // by instance and account
	fencedHoldings []*wire.Holding
	billed         map[string]*wire.Bill // billed here, by account and request
	known          map[string]bool
	acknowledged   map[string]*wire.Bill // acknowledged here at any time
	confirmed      uint64                // sequence of the last release that the replicated log has applied
	pending        map[uint64]bool       // releases that the ledger must list
	history        []func() error        // idempotent calls of the current epoch
}

func newZone(t *rapid.T, name string) *zone {
	z := &zone{
		name: name, epoch: 1, balances: map[string]*balances{}, recovering: map[string]bool{},
		holdings: map[string]*wire.Holding{}, held: map[string]map[string]int64{}, billed: map[string]*wire.Bill{},
		known: map[string]bool{}, pending: map[uint64]bool{}, acknowledged: map[string]*wire.Bill{},
	}
	for _, a := range accounts {
		z.balances[a] = &balances{}
	}
	for _, e := range []string{"e1", "e2"} {
		z.holdings[e], z.held[e] = holding(e, 1), map[string]int64{}
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

// attempt makes a call and sometimes lets the sync fail. In that case the
// process crashes and, if repeat is set, the call is repeated. Successful
// idempotent calls are sometimes repeated as well.
func (z *zone) attempt(t *rapid.T, repeat bool, call func() error) (uncertain bool, err error) {
	z.disk.fail = rapid.IntRange(0, 9).Draw(t, "fail") == 0
	err = call()
	if z.disk.fail {
		// A failed compaction also needs a restart, even if the call succeeded.
		z.restart(t)
	}
	if errors.Is(err, fault.Corrupt) {
		if uncertain = true; !repeat {
			return true, err
		}
		err = call()
	}
	if repeat {
		z.history = append(z.history, call)
	}
	if repeat && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
		if again := call(); fmt.Sprint(again) != fmt.Sprint(err) {
			t.Fatalf("repeated call: got %v, want %v", again, err)
		}
	}
	return uncertain, err
}

func (w *model) zone(t *rapid.T) *zone { return w.zones[rapid.IntRange(0, 1).Draw(t, "zone")] }

// tokens returns an amount. The uniform draws of rapid prefer amounts near 0,
// which rarely reveal a wrong balance.
func tokens(t *rapid.T, label string) int64 {
	return rapid.SampledFrom([]int64{0, 1, 9, 40, 150, prepaid}).Draw(t, label)
}

func (w *model) other(z *zone) *zone {
	if z == w.zones[0] {
		return w.zones[1]
	}
	return w.zones[0]
}

func (w *model) pick(t *rapid.T) (z *zone, a, e string) {
	return w.zone(t), rapid.SampledFrom(accounts).Draw(t, "account"), rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry")
}

func (w *model) grant(t *rapid.T) {
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
	z.balances[a].granted += amount
	z.balances[a].free += amount
}

func (w *model) release(t *rapid.T) {
	z, a, _ := w.pick(t)
	amount := tokens(t, "amount")
	want := min(amount, z.balances[a].free)
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
			z.balances[r.Account].granted -= r.Amount
			z.balances[r.Account].free -= r.Amount
		}
		if rapid.Bool().Draw(t, "confirm") {
			if _, err := z.attempt(t, true, func() error { return z.ledger.Confirm(r.Sequence) }); err != nil {
				t.Fatalf("confirm: %v", err)
			}
			delete(z.pending, r.Sequence)
		}
	}
}

func (w *model) draw(t *rapid.T) {
	z, a, e := w.pick(t)
	w.drawFor(t, z, a, e)
}

func (w *model) drawFor(t *rapid.T, z *zone, a, e string) {
	need, want := 1+tokens(t, "need"), tokens(t, "want")
	b := z.balances[a]
	var got, held int64
	call := func() (err error) {
		got, held, err = z.ledger.Draw(z.holdings[e], a, need, want, 0)
		return err
	}
	uncertain, err := z.attempt(t, false, call)
	if uncertain {
		// The allowance may have been issued; the next draw reports it.
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

func (w *model) settle(t *rapid.T) {
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
	h, epoch := z.holdings[e], z.epoch
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
		// Some batches of the first attempt may have been durable.
		if got[i] != want && (!uncertain || want != billed || got[i] != duplicate) {
			t.Fatalf("settle %s %s %d: got %v, want %v", b.Account, b.Request, b.Amount, got[i], want)
		}
		if want == billed {
			accepted = append(accepted, b)
		}
	}
	// A refused bill may be accepted later, so only accepted ones are
	// repeated.
	z.history[len(z.history)-1] = func() error {
		_, _, err := z.ledger.Settle(h, epoch, accepted)
		return err
	}
}

// expect returns the expected outcome of a bill and updates the model.
func (z *zone) expect(e string, b *wire.Bill) wire.Outcome {
	key := b.Account + "/" + b.Request
	if z.known[key] {
		return duplicate
	}
	if b.Amount > z.held[e][b.Account] {
		return refused
	}
	z.held[e][b.Account] -= b.Amount
	z.balances[b.Account].allowances -= b.Amount
	z.balances[b.Account].billed += b.Amount
	z.known[key], z.billed[key], z.acknowledged[key] = true, b, b
	return billed
}

// bill returns a bill of a new request or of a recent one.
func (w *model) bill(t *rapid.T, a string, amount int64) *wire.Bill {
	w.requests++
	n := rapid.Uint64Range(w.requests-min(w.requests, 5), w.requests).Draw(t, "request")
	b := bill(fmt.Sprint(n), amount)
	b.Account = a
	return b
}

// settleFenced settles and returns with a fenced incarnation.
func (w *model) settleFenced(t *rapid.T) {
	z, a, _ := w.pick(t)
	if len(z.fencedHoldings) == 0 {
		return
	}
	b := w.bill(t, a, 1)
	h := rapid.SampledFrom(z.fencedHoldings).Draw(t, "holding")
	want := fenced
	if z.known[a+"/"+b.Request] {
		want = duplicate
	}
	got, _, err := z.ledger.Settle(h, z.epoch, []*wire.Bill{b})
	if err != nil || got[0] != want {
		t.Fatalf("settle of a fenced incarnation: got %v, %v, want %v", got, err, want)
	}
	if err := z.ledger.Return(h, a, z.epoch, 1, 1000); !errors.Is(err, fault.Fenced) {
		t.Fatalf("return of a fenced incarnation: got %v, want %v", err, fault.Fenced)
	}
}

func (w *model) returnTokens(t *rapid.T) {
	z, a, e := w.pick(t)
	amount := min(z.held[e][a], tokens(t, "amount"))
	if amount == 0 {
		return
	}
	z.sequence++
	h, epoch, sequence := z.holdings[e], z.epoch, z.sequence
	if _, err := z.attempt(t, true, func() error { return z.ledger.Return(h, a, epoch, amount, sequence) }); err != nil {
		t.Fatalf("return: %v", err)
	}
	z.held[e][a] -= amount
	z.balances[a].allowances -= amount
	z.balances[a].free += amount
}

func (w *model) fence(t *rapid.T) {
	z, _, e := w.pick(t)
	z.fence(t, e)
}

func (z *zone) fence(t *rapid.T, e string) {
	h := z.holdings[e]
	if _, err := z.attempt(t, true, func() error { return z.ledger.Fence(e, h.Incarnation) }); err != nil {
		t.Fatalf("fence: %v", err)
	}
	for a, amount := range z.held[e] {
		z.balances[a].allowances -= amount
		z.balances[a].free += amount
	}
	z.held[e] = map[string]int64{}
	z.fencedHoldings = append(z.fencedHoldings, h)
	z.holdings[e] = holding(e, h.Incarnation+1)
}
