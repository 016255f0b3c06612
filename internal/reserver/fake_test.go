package reserver

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// fakeLedger is the ledger of a fake holder. Fields may be changed between
// calls with the mutex held.
type fakeLedger struct {
	mu                sync.Mutex
	free              int64
	held              map[uint64]int64 // by incarnation
	epoch             uint64
	down              bool
	lostSettleReplies int // number of settle replies to lose after the call took effect
	lostDrawReplies   int // number of draw replies to lose after the call took effect
	solo              bool
	copied            uint64
	position          uint64
	billed            map[string]int64
	draws             int
	settles           int
	sequences         map[uint64]bool
	drawGate          chan struct{} // draws wait until it is closed, unless it is nil
}

func newFakeLedger(free int64) *fakeLedger {
	return &fakeLedger{free: free, epoch: 1, held: map[uint64]int64{}, billed: map[string]int64{}, sequences: map[uint64]bool{}}
}

func (b *fakeLedger) draw(request *wire.DrawRequest) (*wire.DrawReply, error) {
	b.mu.Lock()
	gate := b.drawGate
	b.mu.Unlock()
	if gate != nil {
		<-gate
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return nil, eris.New("connection refused")
	}
	b.draws++
	incarnation := request.Holding.Incarnation
	if b.free < max(request.Need, 1) {
		return &wire.DrawReply{Epoch: b.epoch, Held: b.held[incarnation], Fault: &wire.Fault{Code: fault.Exhausted.Code()}}, nil
	}
	amount := min(b.free, max(request.Need, request.Want))
	b.free -= amount
	b.held[incarnation] += amount
	if b.lostDrawReplies > 0 {
		b.lostDrawReplies--
		return nil, eris.New("connection reset")
	}
	return &wire.DrawReply{Amount: amount, Epoch: b.epoch, Held: b.held[incarnation]}, nil
}

func (b *fakeLedger) returnTokens(request *wire.ReturnRequest) (*wire.ReturnReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return nil, eris.New("connection refused")
	}
	if !b.sequences[request.Sequence] {
		b.sequences[request.Sequence] = true
		b.free += request.Amount
		b.held[request.Holding.Incarnation] -= request.Amount
	}
	return &wire.ReturnReply{}, nil
}

func (b *fakeLedger) settle(request *wire.SettleRequest) (*wire.SettleReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return nil, eris.New("connection refused")
	}
	b.settles++
	reply := &wire.SettleReply{}
	for _, bill := range request.Bills {
		reply.Outcomes = append(reply.Outcomes, b.bill(request, bill))
	}
	reply.Solo, reply.Position, reply.Copied = b.solo, b.position, b.copied
	if b.lostSettleReplies > 0 {
		b.lostSettleReplies--
		return nil, eris.New("connection reset")
	}
	return reply, nil
}

func (b *fakeLedger) bill(request *wire.SettleRequest, bill *wire.Bill) wire.Outcome {
	if request.Epoch != b.epoch {
		return wire.Outcome_OUTCOME_FENCED
	}
	if _, ok := b.billed[bill.Request]; ok {
		return wire.Outcome_OUTCOME_DUPLICATE
	}
	b.position++
	b.billed[bill.Request] = bill.Amount
	b.held[request.Holding.Incarnation] -= bill.Amount
	return wire.Outcome_OUTCOME_BILLED
}

// billedTotal returns the sum of the billed tokens.
func (b *fakeLedger) billedTotal() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum int64
	for _, amount := range b.billed {
		sum += amount
	}
	return sum
}

func (b *fakeLedger) update(change func(*fakeLedger)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

// testbed is a reserver with fake holders and a fake clock.
type testbed struct {
	*Reserver
	mu          sync.Mutex
	now         time.Time
	incarnation uint64
}

func newTestbed(_ testing.TB, names []string, holders map[string]*fakeLedger) *testbed {
	bed := &testbed{now: time.Unix(1_000_000, 0), incarnation: 1}
	bed.Reserver = New(Config{
		Holding: func() *wire.Holding {
			bed.mu.Lock()
			defer bed.mu.Unlock()
			return &wire.Holding{Instance: "entry", Incarnation: bed.incarnation}
		},
		Holders: func() []string { return names },
		Draw: func(_ context.Context, holder string, request *wire.DrawRequest) (*wire.DrawReply, error) {
			return holders[holder].draw(request)
		},
		Return: func(_ context.Context, holder string, request *wire.ReturnRequest) (*wire.ReturnReply, error) {
			return holders[holder].returnTokens(request)
		},
		Settle: func(_ context.Context, holder string, request *wire.SettleRequest) (*wire.SettleReply, error) {
			return holders[holder].settle(request)
		},
		Now: func() time.Time {
			bed.mu.Lock()
			defer bed.mu.Unlock()
			return bed.now
		},
		Logger: zap.NewNop(),
	})
	return bed
}

func (bed *testbed) advance(d time.Duration) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.now = bed.now.Add(d)
}

func (bed *testbed) nextIncarnation() {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.incarnation++
}

func mustReserve(t testing.TB, bed *testbed, amount int64) uint64 {
	t.Helper()
	id, err := bed.Reserve(context.Background(), "acme", amount)
	if err != nil {
		t.Fatalf("Reserve(%d): %v", amount, err)
	}
	return id
}
