package ledger

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// Concurrent callers that settle the same requests, with draws, returns, fences
// and compactions in between, must bill each request once. The balances must be
// the same after a restart.
func TestConcurrentCalls(t *testing.T) {
	const callers, requests, budget = 8, 200, 100000
	d := newDisk(t)
	l := openLedger(t, d, budget)
	var billedTokens atomic.Int64
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			h := holding(fmt.Sprint("entry", c), 1)
			for i := range requests {
				if _, _, err := l.Draw(h, "a", 10, 0, 0); err != nil {
					t.Errorf("draw: %v", err)
				}
				b := bill(fmt.Sprint(i), int64(1+i%10))
				got, _, err := l.Settle(h, 1, []*wire.Bill{b})
				switch {
				case err != nil || (got[0] != billed && got[0] != duplicate):
					t.Errorf("settle: got %v, %v", got, err)
				case got[0] == billed:
					billedTokens.Add(b.Amount)
				}
				if found, _ := l.FindBill("a", b.Request, b.Digest); found == nil {
					t.Errorf("find %s: got none", b.Request)
				}
				if i%50 == 49 {
					if err := l.Fence(h.Instance, h.Incarnation); err != nil {
						t.Errorf("fence: %v", err)
					}
					h = holding(h.Instance, h.Incarnation+1)
				}
			}
		})
	}
	wg.Wait()
	tally := l.Tally("a")[0]
	if got, want := tally.Billed, billedTokens.Load(); got != want || tally.Requests != requests || tally.Free != budget-want {
		t.Errorf("got %v, want %d billed, %d requests", tally, want, requests)
	}
	d.crash(t)
	if got := d.open(t, "z", time.Now).Tally("a")[0]; !proto.Equal(got, tally) {
		t.Errorf("after a restart: got %v, want %v", got, tally)
	}
}

// A retained bill beyond the stranded tokens must be refused with an error:
// reducing it would lose tokens, billing it in full would overspend.
func TestSettleRetainedBeyondStranded(t *testing.T) {
	l := openLedger(t, newDisk(t), 100)
	if err := l.BeginEpoch(2); err != nil {
		t.Fatal(err)
	}
	if err := l.Grant("a", 1, 1); !errors.Is(err, fault.Conflict) {
		t.Errorf("grant before Align: got %v, want %v", err, fault.Conflict)
	}
	if err := l.Align("a", 60); err != nil {
		t.Fatal(err)
	}
	if err := l.SettleRetained(1, []*wire.Bill{bill("x", 61), bill("y", 60)}); !errors.Is(err, fault.Exhausted) {
		t.Errorf("settle retained bills: got %v, want %v", err, fault.Exhausted)
	}
	if err := l.SettleRetained(2, []*wire.Bill{bill("z", 0)}); !errors.Is(err, fault.Malformed) {
		t.Errorf("retained bill of the current epoch: got %v, want %v", err, fault.Malformed)
	}
	if err := l.BeginEpoch(1); !errors.Is(err, fault.Fenced) {
		t.Errorf("begin old epoch: got %v, want %v", err, fault.Fenced)
	}
	if got := l.Tally("a")[0]; got.Billed != 60 || got.Stranded != 0 || l.Violations() != 0 {
		t.Errorf("got %v, %d violations, want 60 billed", got, l.Violations())
	}
}
