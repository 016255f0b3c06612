package ledger

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	billed    = wire.Outcome_OUTCOME_BILLED
	duplicate = wire.Outcome_OUTCOME_DUPLICATE
	fenced    = wire.Outcome_OUTCOME_FENCED
	conflict  = wire.Outcome_OUTCOME_CONFLICT
	refused   = wire.Outcome_OUTCOME_REFUSED
)

// With another outcome, each of these bills would be billed twice, exceed its
// allowance or be lost.
func TestSettleOutcomes(t *testing.T) {
	l := openLedger(t, newDisk(t), 1000)
	old, young := holding("entry", 1), holding("entry", 2)
	draw(t, l, old, 100)
	settle(t, l, old, bill("first", 10), billed)
	if err := l.Fence("entry", 1); err != nil {
		t.Fatal(err)
	}
	draw(t, l, young, 50)
	other := bill("first", 10)
	other.Digest = []byte("other content")
	big := bill("big", 5)
	big.Answer = make([]byte, maxAnswerBytes+1)
	for _, test := range []struct {
		name  string
		h     *wire.Holding
		epoch uint64
		bill  *wire.Bill
		want  wire.Outcome
	}{
		{"within the allowance", young, 1, bill("second", 40), billed},
		{"above the allowance", young, 1, bill("third", 11), refused},
		{"the rest", young, 1, bill("fourth", 5), billed},
		{"answer too large to keep", young, 1, big, billed},
		{"nothing left", young, 1, bill("fifth", 1), refused},
		{"free of charge", young, 1, bill("sixth", 0), billed},
		{"negative", young, 1, bill("seventh", -1), refused},
		{"repeated", young, 1, bill("second", 40), duplicate},
		{"repeated by a retry elsewhere", holding("other", 1), 1, bill("first", 10), duplicate},
		{"repeated by the fenced incarnation", old, 1, bill("first", 10), duplicate},
		{"identity with other content", young, 1, other, conflict},
		{"fenced incarnation", old, 1, bill("late", 1), fenced},
		{"old epoch", young, 0, bill("late", 1), fenced},
		{"no allowance", holding("other", 1), 1, bill("eighth", 1), refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, _, err := l.Settle(test.h, test.epoch, []*wire.Bill{test.bill})
			if err != nil || got[0] != test.want {
				t.Errorf("got %v, %v, want %v", got, err, test.want)
			}
		})
	}
	if got := l.Tally("a")[0]; got.Billed != 60 || got.Free != 940 || got.Requests != 5 {
		t.Errorf("got %v, want 60 billed, 940 free, 5 requests", got)
	}
	if got, _ := l.FindBill("a", "big", []byte("content")); got == nil || len(got.Answer) != 0 {
		t.Errorf("large answer: got %d bytes kept, want none", len(got.GetAnswer()))
	}
}

// A batch that contains one identity twice must bill it once.
func TestSettleBatch(t *testing.T) {
	l := openLedger(t, newDisk(t), 1000)
	h := holding("entry", 1)
	draw(t, l, h, 30)
	got, _, err := l.Settle(h, 1, []*wire.Bill{bill("x", 10), bill("x", 10), bill("y", 25), bill("z", 20)})
	want := []wire.Outcome{billed, duplicate, refused, billed}
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
}

// A draw must leave tokens for other instances if it asks for more than it
// needs.
func TestDraw(t *testing.T) {
	l := openLedger(t, newDisk(t), 800)
	for _, test := range []struct {
		need, want, reserve, amount int64
		err                         error
	}{
		{10, 50, 0, 50, nil},
		{10, 500, 0, 93, nil}, // one eighth of 750
		{10, 500, 457, 25, nil},
		{276, 500, 357, 0, fault.Exhausted},
		{275, 500, 357, 275, nil},
		{358, 0, 0, 0, fault.Exhausted},
		{357, 0, 0, 357, nil},
		{0, 1, 0, 0, fault.Exhausted},
		{-1, 1, 0, 0, fault.Malformed},
	} {
		got, _, err := l.Draw(holding("entry", 1), "a", test.need, test.want, test.reserve)
		if got != test.amount || !errors.Is(err, test.err) {
			t.Errorf("draw(%d, %d): got %d, %v, want %d, %v", test.need, test.want, got, err, test.amount, test.err)
		}
	}
}

// Identities must outlive retries within a day, and answers must not fill the
// memory.
func TestExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDisk(t)
	l := d.open(t, "z", func() time.Time { return now })
	grant(t, l, 1, 1000)
	h := holding("entry", 1)
	draw(t, l, h, 100)
	kept := bill("x", 10)
	kept.Answer = []byte("answer")
	settle(t, l, h, kept, billed)
	for _, test := range []struct {
		after  time.Duration
		answer string
		want   wire.Outcome
	}{
		{answerTTL - 1, "answer", duplicate},
		{answerTTL, "", duplicate},
		{identityTTL - 1, "", duplicate},
		{identityTTL, "", billed},
	} {
		now = time.Unix(1000, 0).Add(test.after)
		l.expire(l.now(), 1)
		got, _ := l.FindBill("a", "x", []byte("content"))
		if string(got.GetAnswer()) != test.answer {
			t.Errorf("after %v: got answer %q, want %q", test.after, got.GetAnswer(), test.answer)
		}
		settle(t, l, h, bill("x", 10), test.want)
	}
	if got, want := len(l.identities), 1; got != want {
		t.Errorf("identities: got %d, want %d", got, want)
	}
}

// Merging a whole journal repeatedly must not extend the life of identities,
// and a recent bill of another zone must not be billed again here.
func TestMergeIgnoresExpiredBills(t *testing.T) {
	now := time.Unix(200000, 0)
	l := newDisk(t).open(t, "z", func() time.Time { return now })
	for _, test := range []struct {
		age   time.Duration
		known bool
	}{{identityTTL - 1, true}, {identityTTL, false}} {
		b := bill(test.age.String(), 1)
		b.Zone, b.Time = "x", now.Add(-test.age).UnixNano()
		if err := l.MergeBills([]*wire.Bill{b}); err != nil {
			t.Fatal(err)
		}
		if got, _ := l.FindBill("a", b.Request, b.Digest); (got != nil) != test.known {
			t.Errorf("age %v: got %v, want known %t", test.age, got, test.known)
		}
	}
}

// A request that both zones have billed during a partition of more than a day
// must be paid once, even after a restart. Later requests with its identity are
// new ones, and a zone that never returns must not keep identities forever.
func TestMergeAfterLongPartition(t *testing.T) {
	for _, test := range []struct {
		name             string
		partition, other time.Duration // length, time of the other bill
		billed           int64
	}{
		{"retry in the other zone", 30 * time.Hour, time.Hour, 0},
		{"new request with the same identity", 30 * time.Hour, identityTTL, 10},
		{"longer than the limit", maxIdentityAge, time.Hour, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := time.Unix(1000, 0)
			now, d := first, newDisk(t)
			l := d.open(t, "z", func() time.Time { return now })
			l.cfg.ExchangedUntil = func() time.Time { return first }
			grant(t, l, 1, 1000)
			draw(t, l, holding("entry", 1), 10)
			settle(t, l, holding("entry", 1), bill("x", 10), billed)
			now = first.Add(test.partition)
			l.expire(l.now(), 1)
			b := bill("x", 10)
			b.Zone, b.Time = "a", first.Add(test.other).UnixNano()
			for range 2 {
				if err := l.MergeBills([]*wire.Bill{b}); err != nil {
					t.Fatal(err)
				}
			}
			if got := l.Tally("a")[0]; got.Billed != test.billed {
				t.Errorf("got %v, want %d billed", got, test.billed)
			}
			l.cfg.ExchangedUntil = func() time.Time { return now }
			now = now.Add(identityTTL)
			if l.expire(l.now(), 1); len(l.identities) > 0 {
				t.Errorf("identities: got %d, want none", len(l.identities))
			}
		})
	}
}

// A violated invariant must stop the affected account, be counted, and leave
// the other accounts running.
func TestInvariantViolation(t *testing.T) {
	l := openLedger(t, newDisk(t), 1000)
	if err := l.Grant("b", 1, 100); err != nil {
		t.Fatal(err)
	}
	h := holding("entry", 1)
	draw(t, l, h, 100)
	l.accounts["a"].free++ // simulates memory corruption
	if err := l.Return(h, "a", 1, 1, 1); !errors.Is(err, fault.Broken) {
		t.Errorf("return: got %v, want %v", err, fault.Broken)
	}
	if _, _, err := l.Draw(h, "a", 1, 1, 0); !errors.Is(err, fault.Broken) {
		t.Errorf("draw: got %v, want %v", err, fault.Broken)
	}
	settle(t, l, h, bill("x", 1), refused)
	if got, want := l.Violations(), uint64(1); got != want {
		t.Errorf("violations: got %d, want %d", got, want)
	}
	if _, _, err := l.Draw(h, "b", 1, 1, 0); err != nil {
		t.Errorf("other account: got %v, want no error", err)
	}
}

// After a restart, a stopped account must stay stopped, so that it can't spend
// from inconsistent balances, and other accounts must be unchanged.
func TestStoppedAccountSurvivesRestart(t *testing.T) {
	for _, cause := range []string{"return", "settle"} {
		t.Run(cause, func(t *testing.T) {
			d := newDisk(t)
			l := openLedger(t, d, 1000)
			if err := l.Grant("b", 1, 100); err != nil {
				t.Fatal(err)
			}
			h := holding("entry", 1)
			draw(t, l, h, 100)
			if cause == "return" {
				l.accounts["a"].free++ // simulates memory corruption
				_ = l.Return(h, "a", 1, 1, 1)
			} else {
				l.accounts["a"].billed--
				settle(t, l, h, bill("x", 1), refused)
			}
			d.crash(t)
			l = d.open(t, "z", time.Now)
			if got, want := l.StoppedAccounts(), []string{"a"}; !slices.Equal(got, want) {
				t.Fatalf("stopped: got %v, want %v", got, want)
			}
			if _, _, err := l.Draw(h, "a", 1, 1, 0); !errors.Is(err, fault.Broken) {
				t.Errorf("draw: got %v, want %v", err, fault.Broken)
			}
			if got := l.Tally("a")[0]; got.Free != 900 || got.Allowances != 100 || !got.Stopped {
				t.Errorf("balances: got %v, want 900 free, 100 in allowances, stopped", got)
			}
			if _, _, err := l.Draw(h, "b", 1, 1, 0); err != nil {
				t.Errorf("other account: got %v, want no error", err)
			}
		})
	}
}

// After a failed sync nothing may be acknowledged, and a retry must not see a
// bill that isn't durable.
func TestFailedSync(t *testing.T) {
	d := newDisk(t)
	l := openLedger(t, d, 1000)
	h := holding("entry", 1)
	draw(t, l, h, 100)
	d.fail = true
	if _, _, err := l.Settle(h, 1, []*wire.Bill{bill("x", 1)}); !errors.Is(err, fault.Corrupt) {
		t.Errorf("settle: got %v, want %v", err, fault.Corrupt)
	}
	d.fail = false
	if got, _ := l.FindBill("a", "x", []byte("content")); got != nil {
		t.Errorf("find: got %v, want none", got)
	}
	if _, _, err := l.Settle(h, 1, []*wire.Bill{bill("x", 1)}); !errors.Is(err, fault.Corrupt) {
		t.Errorf("repeated settle: got %v, want %v", err, fault.Corrupt)
	}
	if err := l.Grant("a", 2, 1); !errors.Is(err, fault.Corrupt) {
		t.Errorf("grant: got %v, want %v", err, fault.Corrupt)
	}
}

func openLedger(t testing.TB, d *disk, tokens int64) *Ledger {
	t.Helper()
	l := d.open(t, "z", time.Now)
	grant(t, l, 1, tokens)
	return l
}

func grant(t testing.TB, l *Ledger, sequence uint64, tokens int64) {
	t.Helper()
	if err := l.Grant("a", sequence, tokens); err != nil {
		t.Fatalf("grant: %v", err)
	}
}

func draw(t testing.TB, l *Ledger, h *wire.Holding, need int64) {
	t.Helper()
	if got, _, err := l.Draw(h, "a", need, 0, 0); err != nil || got != need {
		t.Fatalf("draw: got %d, %v, want %d", got, err, need)
	}
}

func settle(t testing.TB, l *Ledger, h *wire.Holding, b *wire.Bill, want wire.Outcome) {
	t.Helper()
	got, _, err := l.Settle(h, l.Epoch(), []*wire.Bill{b})
	if err != nil || got[0] != want {
		t.Fatalf("settle %s: got %v, %v, want %v", b.Request, got, err, want)
	}
}

func holding(name string, incarnation uint64) *wire.Holding {
	return &wire.Holding{Instance: name, Incarnation: incarnation}
}

func bill(request string, amount int64) *wire.Bill {
	return &wire.Bill{Account: "a", Request: request, Digest: []byte("content"), Model: "m", Amount: amount}
}

func ExampleExtractBills() {
	record, _ := encode(recordSettle, 0, &wire.SettleRequest{Bills: []*wire.Bill{{Account: "a", Request: "x", Amount: 5}}})
	bills, _, err := ExtractBills("z", nil, [][]byte{record})
	fmt.Println(bills[0].Zone, bills[0].Request, bills[0].Amount, err)
	// Output: z x 5 <nil>
}
