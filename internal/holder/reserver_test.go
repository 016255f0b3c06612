package holder

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/reserver"
	"github.com/papayapond/papayapond/internal/wire"
)

// reserverCluster runs one entry instance per zone on the holders of a cluster.
type reserverCluster struct {
	*cluster
	reserved  atomic.Int64 // successful reservations
	refused   atomic.Int64
	billed    atomic.Int64 // tokens of acknowledged bills
	unsettled atomic.Int64 // tokens of bills with an unknown outcome
}

// Entry instances and holders must agree on every token, also when replies are
// lost, a holder restarts and a zone is isolated under load.
func TestReserverWithHolders(t *testing.T) {
	f := &reserverCluster{cluster: newCluster(t, map[string]int64{"acme": 3_000_000})}
	f.waitForInitialGrants()
	var randomMu sync.Mutex
	random := rand.New(rand.NewSource(1))
	f.net.injectFaults(func(string) networkFault {
		randomMu.Lock()
		defer randomMu.Unlock()
		return networkFault(max(random.Intn(30)-26, 0))
	})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for _, zone := range zones {
		group.Go(func() { f.runLoad(ctx, zone) })
	}
	sleep(ctx, 500*time.Millisecond)
	f.stop("a")
	f.start("a")
	sleep(ctx, 500*time.Millisecond)
	f.net.isolate("b", true)
	sleep(ctx, 500*time.Millisecond)
	f.net.isolate("b", false)
	group.Wait()
	f.net.injectFaults(nil)
	f.verify()
	left := f.fence()
	f.verify()
	var billed, allowances int64
	for _, zone := range zones {
		tally := tally(f.holder(zone).Ledger(), "acme")
		billed += tally.Billed
		allowances += tally.Allowances
	}
	least, most := f.billed.Load(), f.billed.Load()+f.unsettled.Load()
	if billed < least || billed > most {
		t.Errorf("billed: got %d, want %d to %d", billed, least, most)
	}
	if left != 0 {
		t.Errorf("left in returned allowances: got %d tokens, want 0", left)
	}
	if allowances != 0 {
		t.Errorf("allowances of fenced incarnations: got %d tokens, want 0", allowances)
	}
	t.Logf("%d reserved, %d refused, %d tokens billed, %d with an unknown outcome, %d left in allowances before the fence",
		f.reserved.Load(), f.refused.Load(), billed, f.unsettled.Load(), left)
}

// fence fences all entry instances and returns the tokens that were left in
// their allowances.
func (f *reserverCluster) fence() int64 {
	var left int64
	for _, zone := range zones {
		l := f.holder(zone).Ledger()
		left += tally(l, "acme").Allowances
		for _, other := range zones {
			if err := l.Fence("entry-"+other, 1); err != nil {
				f.t.Fatal(err)
			}
		}
	}
	return left
}

// runLoad runs the reserver of a zone under load until ctx ends, and then lets
// it return its allowances.
func (f *reserverCluster) runLoad(ctx context.Context, zone string) {
	r := f.newReserver(zone)
	run, stop := context.WithCancel(context.Background())
	var runs, load sync.WaitGroup
	runs.Go(func() { r.Run(run) })
	for worker := range 4 {
		load.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				f.request(r, fmt.Sprintf("%s-%d-%d", zone, worker, i))
			}
		})
	}
	load.Wait()
	// A draw that all holders refuse reports the tokens left over from lost
	// replies.
	f.net.injectFaults(nil)
	time.Sleep(2 * duplicateDelay)
	if _, err := r.Reserve(context.Background(), "acme", 3_000_001); err == nil {
		f.t.Errorf("reservation above the budget in %s: got success, want an error", zone)
	}
	stop()
	runs.Wait()
}

func (f *reserverCluster) request(r *reserver.Reserver, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	id, err := r.Reserve(ctx, "acme", 100)
	if err != nil {
		f.refused.Add(1)
		return
	}
	f.reserved.Add(1)
	if len(name)%5 == 0 {
		r.Cancel(id)
		return
	}
	const amount = 60
	outcome, err := r.Settle(context.Background(), id, &wire.Bill{Account: "acme", Request: name, Amount: amount})
	switch {
	case err != nil:
		f.unsettled.Add(amount)
	case outcome == wire.Outcome_OUTCOME_BILLED || outcome == wire.Outcome_OUTCOME_DUPLICATE:
		f.billed.Add(amount)
	}
}

func (f *reserverCluster) newReserver(zone string) *reserver.Reserver {
	order := []string{zone}
	for _, other := range zones {
		if other != zone {
			order = append(order, other)
		}
	}
	holding := &wire.Holding{Instance: "entry-" + zone, Incarnation: 1}
	return reserver.New(reserver.Config{
		Holding: func() *wire.Holding { return holding },
		Holders: func() []string { return order },
		Draw:    forward(f.cluster, zone, func(h *Holder) rpcMethod[wire.DrawRequest, wire.DrawReply] { return h.Draw }),
		Return:  forward(f.cluster, zone, func(h *Holder) rpcMethod[wire.ReturnRequest, wire.ReturnReply] { return h.Return }),
		Settle:  forward(f.cluster, zone, func(h *Holder) rpcMethod[wire.SettleRequest, wire.SettleReply] { return h.Settle }),
		Now:     time.Now,
		Logger:  zap.NewNop(),
	})
}
