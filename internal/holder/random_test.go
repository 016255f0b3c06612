package holder

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/wire"
)

const randomBudget = 100_000

// random is a run of three holders with one entry instance each.
type random struct {
	*cluster
	t       *rapid.T
	entries map[string]*instance

	mu      sync.Mutex
	lost    bool             // a disk since the copies were whole
	billed  map[string]int64 // requests that were acknowledged, by identity
	durable map[string]bool  // those that were on two disks then
}

// instance is the model of an entry instance. It bills only what it has drawn.
type instance struct {
	holding *wire.Holding
	epoch   uint64
	free    int64
	kept    []*wire.SettleRequest // settled in solo mode
}

// The sum of assigned and unassigned tokens must be constant, no budget may be
// overspent, and no bill may be lost or doubled, whatever the network and the
// disks do.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRandom(t)
		for range rapid.IntRange(5, 20).Draw(t, "steps") {
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			switch rapid.IntRange(0, 11).Draw(t, "action") {
			case 0:
				r.net.isolate(zone, true)
			case 6, 7:
				// The log can be reached and the copies can't.
				r.net.isolate(zone, true)
				r.net.set(zone+"-log", false)
			case 1:
				r.heal()
			case 2:
				r.stop(zone)
				r.start(zone)
				r.ready(zone)
			case 3:
				r.loseDisks(zone)
			case 4:
				r.fence(zone)
			case 5:
				r.giveBack(zone)
			default:
				r.spend()
			}
			r.check()
		}
		r.finish()
	})
}

func newRandom(t *rapid.T) *random {
	// A small bound makes the journals compact several times in a run.
	compact := rapid.SampledFrom([]int64{0, 2 << 10}).Draw(t, "compact")
	r := &random{
		cluster: newCluster(t, map[string]int64{"acme": randomBudget}, func(cfg *Config) { cfg.Compact = compact }), t: t,
		entries: map[string]*instance{}, billed: map[string]int64{}, durable: map[string]bool{},
	}
	for _, zone := range zones {
		r.entries[zone] = &instance{holding: &wire.Holding{Instance: "entry-" + zone, Incarnation: 1}}
	}
	r.seeded()
	source := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
	r.net.disturb(func(string) trouble { return trouble(max(source.Intn(20)-16, 0)) })
	return r
}

func (r *random) heal() {
	for _, zone := range zones {
		r.net.isolate(zone, false)
	}
}

// spend draws and settles in all zones at once. The identities are few, so that
// zones bill the same requests.
func (r *random) spend() {
	needs, requests := map[string]int64{}, map[string][]int{}
	for _, zone := range zones {
		needs[zone] = rapid.Int64Range(0, randomBudget/8).Draw(r.t, "need")
		requests[zone] = rapid.SliceOfN(rapid.IntRange(0, 200), 1, 5).Draw(r.t, "requests")
	}
	var group sync.WaitGroup
	for _, zone := range zones {
		group.Go(func() {
			r.draw(zone, needs[zone])
			for _, key := range requests[zone] {
				r.settle(zone, fmt.Sprint(key), int64(key)*10)
			}
		})
	}
	group.Wait()
}

func (r *random) draw(zone string, need int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	e := r.entries[zone]
	request := &wire.DrawRequest{Holding: e.holding, Account: "acme", Need: need, Want: 2 * need}
	reply, err := call(r.net, "entry-"+zone, request, func(q *wire.DrawRequest) (*wire.DrawReply, error) { return r.holder(zone).Draw(ctx, q) })
	if err != nil || reply.Epoch == 0 {
		return
	}
	if reply.Epoch != e.epoch {
		e.epoch, e.free = reply.Epoch, 0
	}
	// An earlier reply may have been lost.
	if reply.Held < e.free+reply.Amount {
		r.t.Errorf("held in %s: got %d tokens, want at least %d and %d", zone, reply.Held, e.free, reply.Amount)
	}
	e.free = reply.Held
}

func (r *random) settle(zone, request string, amount int64) {
	e := r.entries[zone]
	if amount > e.free {
		return
	}
	bills := &wire.SettleRequest{Holding: e.holding, Epoch: e.epoch, Bills: []*wire.Bill{{Account: "acme", Request: request, Amount: amount, Reserved: amount}}}
	reply, err := r.holder(zone).Settle(context.Background(), bills)
	if err != nil || reply.Fault != nil {
		r.t.Errorf("settle in %s: %v, %v", zone, err, reply.GetFault())
		return
	}
	if reply.Outcomes[0] != wire.Outcome_OUTCOME_BILLED {
		return
	}
	e.free -= amount
	r.mu.Lock()
	defer r.mu.Unlock()
	r.billed[request] = amount
	if reply.Solo {
		e.kept = append(e.kept, bills)
	} else {
		r.durable[request] = true
	}
}

// fence replaces the incarnation of an entry instance, which must not be able
// to bill any more.
func (r *random) fence(zone string) {
	e := r.entries[zone]
	old := &wire.SettleRequest{Holding: e.holding, Epoch: e.epoch, Bills: []*wire.Bill{{Account: "acme", Request: "fenced", Amount: 1}}}
	if err := r.holder(zone).Ledger().Fence(e.holding.Instance, e.holding.Incarnation); err != nil {
		r.t.Fatal(err)
	}
	e.holding = &wire.Holding{Instance: e.holding.Instance, Incarnation: e.holding.Incarnation + 1}
	e.free = 0
	if reply, _ := r.holder(zone).Settle(context.Background(), old); reply.Outcomes[0] != wire.Outcome_OUTCOME_FENCED {
		r.t.Errorf("fenced bill in %s: got %v", zone, reply.Outcomes[0])
	}
}

func (r *random) giveBack(zone string) {
	e := r.entries[zone]
	request := &wire.ReturnRequest{Holding: e.holding, Account: "acme", Epoch: e.epoch, Amount: e.free, Sequence: uint64(time.Now().UnixNano())}
	e.free = 0
	for range 2 {
		_, _ = r.holder(zone).Return(context.Background(), request)
	}
}

// loseDisks replaces the disk of a zone at any moment, or, with whole copies,
// another one right after the repair as well. The entry instances hand over
// what they kept, and the zone frees its stranded rights.
func (r *random) loseDisks(first string) {
	lost := []string{first}
	if second := rapid.SampledFrom(zones).Draw(r.t, "second"); second != first {
		lost = append(lost, second)
	}
	if r.lost || len(lost) > 1 {
		r.heal()
		r.replicated()
	}
	r.lost = true
	r.stop(first)
	r.heal()
	for _, zone := range lost {
		r.lose(zone)
		h := r.ready(zone)
		e := r.entries[zone]
		for _, kept := range append(e.kept, &wire.SettleRequest{Holding: e.holding, Epoch: h.Ledger().Epoch() - 1}) {
			request := &wire.KeepRequest{Holding: e.holding, Zone: zone, Epoch: kept.Epoch, Bills: kept.Bills}
			if len(kept.Bills) == 0 {
				request.Since = 1
			}
			if kept.Epoch == h.Ledger().Epoch() {
				continue
			}
			if reply, err := h.Keep(context.Background(), request); err != nil || reply.Fault != nil {
				r.t.Errorf("keep in %s: %v, %v", zone, err, reply.GetFault())
			}
		}
	}
}

// replicated waits until each zone has a whole copy on all others.
func (c *cluster) replicated() {
	c.t.Helper()
	waitFor(c.t, "copies", func() bool {
		for _, zone := range zones {
			h := c.holder(zone)
			for _, other := range h.cfg.Others {
				copied, err := c.holder(other).replica(zone, false)
				if err != nil || copied == nil || !copied.holds(h.Ledger().Epoch(), h.journal.Next()) {
					return false
				}
			}
		}
		return true
	})
}

func (r *replica) holds(epoch, next uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Epochs[r.state.Front] == epoch && r.front().Next() == next
}

// check tests what must hold at any moment.
func (r *random) check() {
	pool := r.log.read().Pools[0]
	sum := pool.Unassigned
	for _, zone := range zones {
		sum += pool.Zones[zone]
		if pool.Zones[zone] < 0 {
			r.t.Fatalf("assigned to %s: got %d", zone, pool.Zones[zone])
		}
	}
	if got, want := sum, int64(randomBudget); got != want {
		r.t.Fatalf("assigned and unassigned tokens: got %d, want %d", got, want)
	}
	var spent int64
	for _, amount := range r.billed {
		spent += amount
	}
	if spent > randomBudget {
		r.t.Fatalf("spent: got %d of %d", spent, randomBudget)
	}
	for _, zone := range zones {
		if n := r.holder(zone).Ledger().Violations(); n > 0 {
			r.t.Fatalf("violations in %s: got %d", zone, n)
		}
	}
}

// finish heals the network and checks the books.
func (r *random) finish() {
	r.heal()
	r.net.disturb(nil)
	r.replicated()
	r.verify()
	r.net.delayed.Wait()
	for _, zone := range zones {
		r.draw(zone, 0)
		if got, want := r.entries[zone].free, tally(r.holder(zone).Ledger(), "acme").Allowances; got != want {
			r.t.Errorf("known to the entry instance of %s: got %d tokens, want %d", zone, got, want)
		}
	}
	waitFor(r.t, "each bill once", func() bool { return r.doubled() == "" })
	for request := range r.durable {
		waitFor(r.t, "acknowledged request "+request+" in the books", func() bool {
			bill, _ := r.holder("a").Ledger().Find("acme", request, nil)
			return bill != nil
		})
	}
}

// doubled returns a request that two zones have billed.
func (r *random) doubled() string {
	seen := map[string]bool{}
	for _, zone := range zones {
		for _, bill := range r.holder(zone).Ledger().Bills("acme", 0, 1000) {
			if seen[bill.Request] {
				return bill.Request
			}
			seen[bill.Request] = true
		}
	}
	return ""
}
