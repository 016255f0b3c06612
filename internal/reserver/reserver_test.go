package reserver

import (
	"context"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A call to the ledger although the allowance suffices would add a round trip
// to each request.
func TestReserveFromAllowance(t *testing.T) {
	b := newFakeLedger(1000)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	bed.Cancel(mustReserve(t, bed, 100))
	for range 100 {
		bed.Cancel(mustReserve(t, bed, 1))
	}
	if got, want := b.draws, 1; got != want {
		t.Errorf("draws: got %d, want %d", got, want)
	}
}

// A wrong fault would report an exhausted budget when a ledger is only
// unreachable, or the reverse.
func TestReserveErrors(t *testing.T) {
	for _, test := range []struct {
		name         string
		near, far    int64
		nearDown     bool
		farDown      bool
		amount       int64
		want         fault.Kind
		wantReserved bool
	}{
		{name: "near suffices", near: 100, far: 0, amount: 100, wantReserved: true},
		{name: "far suffices", near: 10, far: 100, amount: 100, wantReserved: true},
		{name: "near down", far: 100, nearDown: true, amount: 100, wantReserved: true},
		{name: "spent", near: 10, far: 10, amount: 100, want: fault.Exhausted},
		{name: "spent, far down", near: 10, far: 1000, farDown: true, amount: 100, want: fault.Exhausted},
		{name: "all down", near: 100, far: 100, nearDown: true, farDown: true, amount: 1, want: fault.Unavailable},
		{name: "spent, no price", amount: 0, wantReserved: true},
		{name: "negative", near: 100, amount: -1, want: fault.Malformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			near, far := newFakeLedger(test.near), newFakeLedger(test.far)
			near.down, far.down = test.nearDown, test.farDown
			bed := newTestbed(t, []string{"a", "b"}, map[string]*fakeLedger{"a": near, "b": far})
			_, err := bed.Reserve(context.Background(), "acme", test.amount)
			if got := err == nil; got != test.wantReserved {
				t.Fatalf("reserved: got %v (%v), want %v", got, err, test.wantReserved)
			}
			if err != nil && fault.Of(err) != test.want {
				t.Errorf("kind: got %v, want %v", fault.Of(err), test.want)
			}
		})
	}
}

// Without a shared draw, a burst after an idle period would cause one draw per
// request. A waiter that needs less than the refused amount must not fail with
// it.
func TestReserveSharesDraw(t *testing.T) {
	b := newFakeLedger(1000)
	b.drawGate = make(chan struct{})
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	var group sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	amounts := []int64{5000, 10, 10, 10, 10, 10, 10, 10, 10, 10}
	for i, amount := range amounts {
		group.Go(func() {
			if _, err := bed.Reserve(context.Background(), "acme", amount); err != nil {
				mu.Lock()
				defer mu.Unlock()
				refused++
			}
		})
		waitFor(t, func() bool { return waiterCount(bed) == i+1 })
	}
	close(b.drawGate)
	group.Wait()
	if got, want := refused, 1; got != want {
		t.Errorf("refused: got %d, want %d", got, want)
	}
	if got, most := b.draws, 3; got > most {
		t.Errorf("draws: got %d, want at most %d", got, most)
	}
}

// Tokens reserved for a caller that is gone would stay reserved until the
// incarnation ends.
func TestReserveCancelled(t *testing.T) {
	b := newFakeLedger(100)
	b.drawGate = make(chan struct{})
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := bed.Reserve(ctx, "acme", 100); fault.Of(err) != fault.Expired {
		t.Errorf("kind: got %v, want %v", err, fault.Expired)
	}
	close(b.drawGate)
	mustReserve(t, bed, 100)
}

// Without draws ahead of demand, requests would wait for draws.
func TestReservePrefetches(t *testing.T) {
	b := newFakeLedger(1_000_000)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	for i := range 100 {
		id := mustReserve(t, bed, 10)
		if _, err := bed.Settle(context.Background(), id, &wire.Bill{Account: "acme", Request: strconv.Itoa(i), Amount: 10}); err != nil {
			t.Fatal(err)
		}
		bed.advance(10 * time.Millisecond)
	}
	waitFor(t, func() bool {
		s, _ := bed.shard("acme")
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.accounts["acme"].free("") >= 500
	})
	if got, most := b.draws, 20; got > most {
		t.Errorf("draws: got %d, want at most %d", got, most)
	}
}

// Tokens of a draw whose reply was lost must be recovered by the next reply,
// exactly once, even with a reservation open.
func TestReserveLostReply(t *testing.T) {
	b := newFakeLedger(1000)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	mustSettle(t, bed, mustReserve(t, bed, 100), bill("r1", 60))
	open := mustReserve(t, bed, 100)
	waitFor(t, func() bool { return !isDrawing(bed) })
	b.update(func(b *fakeLedger) { b.lostDrawReplies = 1 })
	if _, err := bed.Reserve(context.Background(), "acme", 700); fault.Of(err) != fault.Unavailable {
		t.Fatalf("lost reply: got %v, want %v", err, fault.Unavailable)
	}
	for _, amount := range []int64{700, 840} {
		bed.Cancel(mustReserve(t, bed, amount))
	}
	if _, err := bed.Reserve(context.Background(), "acme", 841); fault.Of(err) != fault.Exhausted {
		t.Errorf("reserve beyond the budget: got %v, want %v", err, fault.Exhausted)
	}
	bed.Cancel(open)
	mustReserve(t, bed, 940)
	if _, err := bed.Reserve(context.Background(), "acme", 1); fault.Of(err) != fault.Exhausted {
		t.Errorf("reserve beyond the budget: got %v, want %v", err, fault.Exhausted)
	}
}

func isDrawing(bed *testbed) bool {
	s, _ := bed.shard("acme")
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accounts["acme"].drawing
}

// Tokens of a lost reply must be returned even if no other request follows.
func TestSweepLostReply(t *testing.T) {
	b := newFakeLedger(1000)
	b.lostDrawReplies = 1
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	_, _ = bed.Reserve(context.Background(), "acme", 500)
	waitFor(t, func() bool {
		bed.advance(idleTimeout)
		bed.sweep(bed.cfg.Now().Add(-idleTimeout))
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.free == 1000
	})
}

// A request must not wait for an unresponsive holder if the others have no
// tokens left. The holder must be used again soon after it recovers.
func TestReserveSkipsUnresponsiveHolder(t *testing.T) {
	near, far := newFakeLedger(0), newFakeLedger(1000)
	bed := newTestbed(t, []string{"a", "b"}, map[string]*fakeLedger{"a": near, "b": far})
	draw, settle := bed.cfg.Draw, bed.cfg.Settle
	var unresponsive atomic.Bool
	unresponsive.Store(true)
	bed.cfg.Draw = func(ctx context.Context, holder string, q *wire.DrawRequest) (*wire.DrawReply, error) {
		if holder == "b" && unresponsive.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return draw(ctx, holder, q)
	}
	bed.cfg.Settle = func(ctx context.Context, holder string, q *wire.SettleRequest) (*wire.SettleReply, error) {
		if holder == "b" && unresponsive.Load() {
			return nil, context.DeadlineExceeded
		}
		return settle(ctx, holder, q)
	}
	for _, most := range []time.Duration{fallbackDrawTimeout + 300*time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond} {
		start := time.Now()
		if _, err := bed.Reserve(context.Background(), "acme", 100); fault.Of(err) != fault.Exhausted {
			t.Errorf("kind: got %v, want %v", err, fault.Exhausted)
		}
		if got := time.Since(start); got > most {
			t.Errorf("time to refusal: got %v, want at most %v", got, most)
		}
		bed.advance(2 * time.Second) // less than failureBackoff
		bed.probe()
		waitFor(t, func() bool { return bed.inBackoff("b") && !bed.isProbing() })
	}
	unresponsive.Store(false)
	bed.probe()
	waitFor(t, func() bool { return !bed.isProbing() })
	mustReserve(t, bed, 100)
}

func (bed *testbed) isProbing() bool {
	bed.Reserver.mu.Lock()
	defer bed.Reserver.mu.Unlock()
	return len(bed.probing) > 0
}

// Bills on an allowance of a fenced incarnation would be refused.
func TestReserveNewIncarnation(t *testing.T) {
	b := newFakeLedger(1000)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	bed.Cancel(mustReserve(t, bed, 100))
	bed.nextIncarnation()
	mustReserve(t, bed, 100)
	if got, want := b.draws, 2; got != want {
		t.Errorf("draws: got %d, want %d", got, want)
	}
}

// An idle allowance that isn't returned causes refusals elsewhere. One that
// isn't returned at the end of Run is blocked until the fence.
func TestRunReturnsIdleTokens(t *testing.T) {
	b := newFakeLedger(1000)
	bed := newTestbed(t, []string{"a"}, map[string]*fakeLedger{"a": b})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		bed.Run(ctx)
	}()
	bed.Cancel(mustReserve(t, bed, 100))
	bed.advance(idleTimeout + time.Second)
	waitFor(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.free == 1000
	})
	bed.Cancel(mustReserve(t, bed, 100))
	cancel()
	<-done
	if got, want := b.free, int64(1000); got != want {
		t.Errorf("free: got %d, want %d", got, want)
	}
	if _, err := bed.Reserve(context.Background(), "acme", 1); fault.Of(err) != fault.Draining {
		t.Errorf("kind: got %v, want %v", err, fault.Draining)
	}
}

func waiterCount(bed *testbed) int {
	s, _ := bed.shard("acme")
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts["acme"]; a != nil {
		return len(a.waiters)
	}
	return 0
}

func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5 s")
		}
	}
}

func BenchmarkReserve(b *testing.B) {
	for _, accounts := range []int{10, 3_700, 190_000} {
		b.Run(strconv.Itoa(accounts), func(b *testing.B) {
			bed := newTestbed(b, []string{"a"}, map[string]*fakeLedger{"a": newFakeLedger(1 << 60)})
			holding := &wire.Holding{Instance: "entry", Incarnation: 1}
			bed.cfg.Now, bed.cfg.Holding = time.Now, func() *wire.Holding { return holding }
			names := make([]string, accounts)
			before := heapBytes()
			for i := range names {
				names[i] = "account-" + strconv.Itoa(i)
				id, err := bed.Reserve(context.Background(), names[i], 1<<30)
				if err != nil {
					b.Fatal(err)
				}
				bed.Cancel(id)
			}
			size := (heapBytes() - before) / float64(accounts)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id, err := bed.Reserve(context.Background(), names[i%accounts], 100)
				if err != nil {
					b.Fatal(err)
				}
				bed.Cancel(id)
			}
			b.ReportMetric(size, "B/account")
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
