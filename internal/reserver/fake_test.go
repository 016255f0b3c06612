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

// books is a fake holder. Its fields may be changed between calls with the
// mutex held.
type books struct {
	mu        sync.Mutex
	free      int64
	held      map[uint64]int64 // by incarnation
	epoch     uint64
	down      bool
	losses    int // replies to settles that are lost after the effect
	lost      int // the same for draws
	solo      bool
	copied    uint64
	position  uint64
	billed    map[string]int64
	draws     int
	settles   int
	sequences map[uint64]bool
	gate      chan struct{} // draws wait for it if it isn't nil
}

func newBooks(free int64) *books {
	return &books{free: free, epoch: 1, held: map[uint64]int64{}, billed: map[string]int64{}, sequences: map[uint64]bool{}}
}

func (b *books) draw(request *wire.DrawRequest) (*wire.DrawReply, error) {
	b.mu.Lock()
	gate := b.gate
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
	if b.lost > 0 {
		b.lost--
		return nil, eris.New("connection reset")
	}
	return &wire.DrawReply{Amount: amount, Epoch: b.epoch, Held: b.held[incarnation]}, nil
}

func (b *books) giveBack(request *wire.ReturnRequest) (*wire.ReturnReply, error) {
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

func (b *books) settle(request *wire.SettleRequest) (*wire.SettleReply, error) {
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
	if b.losses > 0 {
		b.losses--
		return nil, eris.New("connection reset")
	}
	return reply, nil
}

func (b *books) bill(request *wire.SettleRequest, bill *wire.Bill) wire.Outcome {
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

// total returns the sum of the billed tokens.
func (b *books) total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum int64
	for _, amount := range b.billed {
		sum += amount
	}
	return sum
}

func (b *books) set(change func(*books)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

// testbed is a reserver over fake holders with a clock that the test moves.
type testbed struct {
	*Reserver
	mu          sync.Mutex
	now         time.Time
	incarnation uint64
}

func newTestbed(_ testing.TB, names []string, holders map[string]*books) *testbed {
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
			return holders[holder].giveBack(request)
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

func (bed *testbed) replace() {
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
