package reserver

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

func bill(request string, amount int64) *wire.Bill {
	return &wire.Bill{Account: "acme", Request: request, Amount: amount}
}

func mustSettle(t testing.TB, bed *testbed, id uint64, b *wire.Bill) wire.Outcome {
	t.Helper()
	outcome, err := bed.Settle(context.Background(), id, b)
	if err != nil {
		t.Fatalf("Settle(%s): %v", b.Request, err)
	}
	return outcome
}

// The unbilled part of a reservation must be available again, and the billed
// part must not.
func TestSettleAccounting(t *testing.T) {
	b := newFakeLedger(100)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	got := mustSettle(t, bed, mustReserve(t, bed, 100), bill("r1", 60))
	if want := wire.Outcome_OUTCOME_BILLED; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	got = mustSettle(t, bed, mustReserve(t, bed, 40), bill("r1", 40))
	if want := wire.Outcome_OUTCOME_DUPLICATE; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	mustReserve(t, bed, 40)
	if _, err := bed.Reserve(context.Background(), "acme", 1); fault.Of(err) != fault.Exhausted {
		t.Errorf("kind: got %v, want %v", err, fault.Exhausted)
	}
}

// A bill above its reservation would spend tokens of other requests.
func TestSettleOverReservation(t *testing.T) {
	b := newFakeLedger(100)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	id := mustReserve(t, bed, 10)
	if _, err := bed.Settle(context.Background(), id, bill("r1", 11)); fault.Of(err) != fault.Broken {
		t.Errorf("kind: got %v, want %v", err, fault.Broken)
	}
	mustSettle(t, bed, id, bill("r1", 10))
	if _, err := bed.Settle(context.Background(), id, bill("r2", 10)); fault.Of(err) != fault.Internal {
		t.Errorf("kind: got %v, want %v", err, fault.Internal)
	}
}

// A lost reply must not fail the request, bill it twice or free its tokens.
func TestSettleLostReply(t *testing.T) {
	b := newFakeLedger(100)
	b.lostSettleReplies = 2
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	mustSettle(t, bed, mustReserve(t, bed, 100), bill("r1", 60))
	if got, want := b.billedTotal(), int64(60); got != want {
		t.Errorf("billed: got %d, want %d", got, want)
	}
	mustReserve(t, bed, 40)
	if _, err := bed.Reserve(context.Background(), "acme", 1); fault.Of(err) != fault.Exhausted {
		t.Errorf("kind: got %v, want %v", err, fault.Exhausted)
	}
}

// With a ledger that stays unreachable, Settle must return in time and the
// tokens must not be spent a second time.
func TestSettleUnsettled(t *testing.T) {
	b := newFakeLedger(100)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	id := mustReserve(t, bed, 100)
	b.update(func(b *fakeLedger) { b.down = true })
	done := make(chan error)
	go func() {
		_, err := bed.Settle(context.Background(), id, bill("r1", 60))
		done <- err
	}()
	time.Sleep(50 * time.Millisecond)
	bed.advance(settleDeadline)
	if err := <-done; fault.Of(err) != fault.Unsettled {
		t.Errorf("kind: got %v, want %v", err, fault.Unsettled)
	}
	b.update(func(b *fakeLedger) { b.down = false })
	if _, err := bed.Reserve(context.Background(), "acme", 1); fault.Of(err) != fault.Exhausted {
		t.Errorf("kind: got %v, want %v", err, fault.Exhausted)
	}
}

// A refused bill means that the ledger has fenced the allowance. Further
// reservations from it would run requests that can't be billed.
func TestSettleFenced(t *testing.T) {
	b := newFakeLedger(1000)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	id := mustReserve(t, bed, 100)
	b.update(func(b *fakeLedger) { b.epoch = 2 })
	if got, want := mustSettle(t, bed, id, bill("r1", 60)), wire.Outcome_OUTCOME_FENCED; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	got := mustSettle(t, bed, mustReserve(t, bed, 100), bill("r1", 60))
	if want := wire.Outcome_OUTCOME_BILLED; got != want {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
}

// Without batches, the ledger would sync once per request.
func TestSettleBatches(t *testing.T) {
	b := newFakeLedger(100_000)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	settle := bed.cfg.Settle
	bed.cfg.Settle = func(ctx context.Context, holder string, request *wire.SettleRequest) (*wire.SettleReply, error) {
		time.Sleep(5 * time.Millisecond)
		return settle(ctx, holder, request)
	}
	var group sync.WaitGroup
	const requests = 500
	for i := range requests {
		group.Go(func() {
			id, err := bed.Reserve(context.Background(), "acme", 10)
			if err != nil {
				t.Error(err)
				return
			}
			if _, err := bed.Settle(context.Background(), id, bill(strconv.Itoa(i), 10)); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	if got, want := b.billedTotal(), int64(10*requests); got != want {
		t.Errorf("billed: got %d, want %d", got, want)
	}
	if got, most := b.settles, requests/4; got > most {
		t.Errorf("calls: got %d, want at most %d", got, most)
	}
}

// A hanging call must not block bills that arrive after it.
func TestSettleDuringCall(t *testing.T) {
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": newFakeLedger(100)})
	settle, release := bed.cfg.Settle, make(chan struct{})
	bed.cfg.Settle = func(ctx context.Context, holder string, request *wire.SettleRequest) (*wire.SettleReply, error) {
		if request.Bills[0].Request == "hangs" {
			<-release
		}
		return settle(ctx, holder, request)
	}
	first, second := mustReserve(t, bed, 10), mustReserve(t, bed, 10)
	var group sync.WaitGroup
	group.Go(func() { _, _ = bed.Settle(context.Background(), first, bill("hangs", 10)) })
	waitFor(t, func() bool {
		s := bed.sender("a")
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.inFlight == 1 && len(s.queue) == 0
	})
	ctx, cancel := context.WithTimeout(context.Background(), failoverDelay/2)
	defer cancel()
	if _, err := bed.Settle(ctx, second, bill("next", 10)); err != nil {
		t.Errorf("second bill: got %v, want no error while the first call hangs", err)
	}
	close(release)
	group.Wait()
}

// A bill stored on one disk only would be lost with that disk if it weren't
// retained.
func TestRetainedBills(t *testing.T) {
	b := newFakeLedger(1000)
	b.solo = true
	b.lostSettleReplies = 1 // the first settle is repeated, so its bill is a duplicate
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	for i := range 3 {
		mustSettle(t, bed, mustReserve(t, bed, 10), bill(strconv.Itoa(i), 10))
	}
	count := func() int {
		n := 0
		requests, _ := bed.RetainedBills("a", 2)
		for _, request := range requests {
			n += len(request.Bills)
		}
		return n
	}
	if got, want := count(), 3; got != want {
		t.Errorf("retained bills: got %d, want %d", got, want)
	}
	b.update(func(b *fakeLedger) { b.copied = 2 })
	waitFor(t, func() bool {
		bed.pollCopied() // does nothing while a settle goroutine is still running
		return count() == 1
	})
	if requests, _ := bed.RetainedBills("a", 1); len(requests) != 0 {
		t.Errorf("retained bills before epoch 1: got %v, want none", requests)
	}
	if err := bed.RetainBills("a", 1, 4, []*wire.Bill{bill("w", 1)}); fault.Of(err) != fault.Fenced {
		t.Errorf("RetainBills after the hand-over: got %v, want %v", err, fault.Fenced)
	}
	bed.DropRetained("a", 1)
	if got, want := count(), 0; got != want {
		t.Errorf("retained bills: got %d, want %d", got, want)
	}
}

// Retained bills must not exhaust the memory during a long partition. A dropped
// bill must be reported, since the remaining ones are incomplete.
func TestRetainedBillsLimit(t *testing.T) {
	var k retainedBills
	for i := range 100 {
		b := bill(strconv.Itoa(i), 1)
		b.Answer = make([]byte, 256<<10)
		k.add(retainedBill{bill: b, size: len(b.Answer) + billOverheadBytes})
	}
	if k.size > maxRetainedBytes {
		t.Errorf("size: got %d, want at most %d", k.size, maxRetainedBytes)
	}
	if got, want := len(k.entries), 100; got != want || k.dropped != 0 {
		t.Errorf("retained bills: got %d with %d dropped, want %d and 0", got, k.dropped, want)
	}
	for i := range 20 {
		k.add(retainedBill{bill: bill(strconv.Itoa(i), 1), size: 1 << 20})
	}
	if k.size > maxRetainedBytes || k.dropped == 0 {
		t.Errorf("size: got %d with %d dropped, want at most %d with some dropped", k.size, k.dropped, maxRetainedBytes)
	}
}
