package holder

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

const randomBudget = 100_000

// random is a run of three holders with one entry instance each.
type random struct {
	*cluster
	t             *rapid.T
	entries       map[string]*instance
	holderEntries map[string]*instance // the holders as entry instances
	disks         map[string]*failingDisk

	mu         sync.Mutex
	diskLost   bool             // whether a disk was lost since the copies were complete
	diskLosses map[string]int   // disk losses by zone
	billed     map[string]int64 // acknowledged requests, by identity
}

// instance models an entry instance. It bills only the tokens that it has
// drawn.
type instance struct {
	zone     string
	holding  *wire.Holding
	epoch    uint64
	free     int64
	retained []*wire.SettleRequest // settled in solo mode, also by the holder
}

// Whatever happens to the network and the disks, the sum of assigned and
// unassigned tokens must be constant, no budget may be overspent, and no bill
// may be lost or duplicated.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRandom(t)
		for range rapid.IntRange(5, 20).Draw(t, "steps") {
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			switch rapid.IntRange(0, 12).Draw(t, "action") {
			case 0:
				r.net.isolate(zone, true)
				r.net.setCut(zone+"-entry-"+zone, rapid.Bool().Draw(t, "witness"))
			case 6, 7:
				// The log is reachable, but the copies are not.
				r.net.isolate(zone, true)
				r.net.setCut(zone+"-log", false)
			case 1:
				r.heal()
			case 2:
				r.stop(zone)
				r.start(zone)
				r.waitForLedger(zone)
			case 3:
				lost := []string{zone}
				if second := rapid.SampledFrom(zones).Draw(t, "second"); second != zone {
					lost = append(lost, second)
				}
				r.loseDisks(lost)
			case 8:
				// The disk has the only copy of the latest bills.
				r.net.isolate(zone, true)
				r.drawAndSettle()
				r.loseDisks([]string{zone})
			case 4:
				r.fence(zone)
			case 5:
				r.returnAllowance(zone)
			case 9:
				r.disks[zone].full.Store(true)
				r.drawAndSettle()
				r.disks[zone].full.Store(false)
				r.waitForStorage(zone)
			default:
				r.drawAndSettle()
			}
			r.checkInvariants()
		}
		r.finish()
	})
}

func newRandom(t *rapid.T) *random {
	// A small limit compacts the journals several times in a run.
	compact := rapid.SampledFrom([]int64{0, 2 << 10}).Draw(t, "compact")
	r := &random{t: t, entries: map[string]*instance{}, holderEntries: map[string]*instance{}, billed: map[string]int64{}, diskLosses: map[string]int{}, disks: map[string]*failingDisk{}}
	for _, zone := range zones {
		r.entries[zone] = &instance{zone: zone, holding: &wire.Holding{Instance: "entry-" + zone, Incarnation: 1}}
		r.holderEntries[zone] = &instance{zone: zone, holding: &wire.Holding{Instance: zone, Incarnation: 1}}
		r.disks[zone] = &failingDisk{}
	}
	r.cluster = newCluster(t, map[string]int64{"acme": randomBudget}, func(cfg *Config) {
		cfg.CompactBytes = compact
		cfg.Journal, cfg.RecoveryInterval = r.disks[cfg.Zone].open, 20*time.Millisecond
		r.retainBills(cfg)
	})
	r.waitForInitialGrants()
	source := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
	r.net.injectFaults(func(string) networkFault { return networkFault(max(source.Intn(20)-16, 0)) })
	return r
}

// retainBills makes the entry instance of the zone retain bills for the holder.
func (r *random) retainBills(cfg *Config) {
	e := r.entries[cfg.Zone]
	name := e.holding.Instance
	cfg.Instances = func() []string { return []string{cfg.Name, name} }
	cfg.LocalInstances = []string{name}
	cfg.RetainBills = func(_ context.Context, name string, request *wire.CopyRequest) (*wire.CopyReply, error) {
		return call(r.net, cfg.Zone+"-"+name, request, func(q *wire.CopyRequest) (*wire.CopyReply, error) {
			bills, _, err := ledger.ExtractBills(cfg.Zone, nil, q.Records)
			r.mu.Lock()
			defer r.mu.Unlock()
			e.retained = append(e.retained, &wire.SettleRequest{Epoch: q.Epoch, Bills: bills})
			return &wire.CopyReply{}, err
		})
	}
}

func (r *random) heal() {
	for _, zone := range zones {
		r.net.isolate(zone, false)
		r.net.setCut(zone+"-entry-"+zone, false)
	}
}

// drawAndSettle draws and settles in all zones concurrently. There are few
// identities, so that zones bill the same requests.
func (r *random) drawAndSettle() {
	needs, requests := map[string]int64{}, map[string][]int{}
	for _, zone := range zones {
		needs[zone] = rapid.Int64Range(0, randomBudget/8).Draw(r.t, "need")
		requests[zone] = rapid.SliceOfN(rapid.IntRange(0, 200), 1, 5).Draw(r.t, "requests")
	}
	var group sync.WaitGroup
	for _, zone := range zones {
		group.Go(func() {
			for _, e := range []*instance{r.entries[zone], r.holderEntries[zone]} {
				r.draw(e, needs[zone]/2)
				for _, key := range requests[zone] {
					r.settle(e, fmt.Sprint(key), int64(key)*10)
				}
			}
		})
	}
	group.Wait()
}

func (r *random) draw(e *instance, need int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	zone := e.zone
	request := &wire.DrawRequest{Holding: e.holding, Account: "acme", Need: need, Want: 2 * need}
	reply, err := forward(r.cluster, "entry", func(h *Holder) rpcMethod[wire.DrawRequest, wire.DrawReply] { return h.Draw })(ctx, zone, request)
	if err != nil || reply.Epoch == 0 || fault.Of(reply.Fault.Err()) == fault.Corrupt {
		return
	}
	if reply.Epoch != e.epoch {
		e.epoch, e.free = reply.Epoch, 0
	}
	// An earlier reply may have been lost.
	if reply.Held < e.free+reply.Amount {
		r.t.Errorf("held in %s: got %d tokens, want at least %d + %d", zone, reply.Held, e.free, reply.Amount)
	}
	e.free = reply.Held
}

// settle bills a request and acknowledges it to its caller if one of two calls
// succeeds.
func (r *random) settle(e *instance, request string, amount int64) {
	if amount > e.free {
		return
	}
	e.free -= amount
	bills := &wire.SettleRequest{Holding: e.holding, Epoch: e.epoch, Bills: []*wire.Bill{{Account: "acme", Request: request, Amount: amount, Reserved: amount}}}
	settle := forward(r.cluster, "entry", func(h *Holder) rpcMethod[wire.SettleRequest, wire.SettleReply] { return h.Settle })
	var reply *wire.SettleReply
	for range 2 {
		var err error
		reply, err = settle(context.Background(), e.zone, bills)
		if err == nil && reply.Fault == nil {
			break
		}
		if err == nil && e != r.holderEntries[e.zone] && !r.disks[e.zone].full.Load() {
			r.t.Errorf("settle in %s: got fault %v, want none", e.zone, reply.Fault)
		}
	}
	if reply == nil || reply.Fault != nil {
		return
	}
	if o := reply.Outcomes[0]; o != wire.Outcome_OUTCOME_BILLED && o != wire.Outcome_OUTCOME_DUPLICATE {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.billed[request] = amount
	if reply.Solo && e != r.holderEntries[e.zone] {
		e.retained = append(e.retained, bills)
	}
}

// waitForStorage waits until the ledger of the zone accepts changes after a
// storage error.
func (r *random) waitForStorage(zone string) {
	waitFor(r.t, "storage of "+zone, func() bool {
		reply, err := r.holder(zone).Settle(context.Background(), &wire.SettleRequest{Holding: r.entries[zone].holding})
		return err == nil && reply.Fault == nil
	})
}

// fence replaces the incarnation of an entry instance. The old one must not be
// able to bill any more.
func (r *random) fence(zone string) {
	e := r.entries[zone]
	old := &wire.SettleRequest{Holding: e.holding, Epoch: e.epoch, Bills: []*wire.Bill{{Account: "acme", Request: "fenced", Amount: 1}}}
	if err := r.holder(zone).Ledger().Fence(e.holding.Instance, e.holding.Incarnation); err != nil {
		r.t.Fatal(err)
	}
	e.holding = &wire.Holding{Instance: e.holding.Instance, Incarnation: e.holding.Incarnation + 1}
	e.free = 0
	if reply, _ := r.holder(zone).Settle(context.Background(), old); reply.Outcomes[0] != wire.Outcome_OUTCOME_FENCED {
		r.t.Errorf("fenced bill in %s: got %v, want it fenced", zone, reply.Outcomes[0])
	}
}

func (r *random) returnAllowance(zone string) {
	e := r.entries[zone]
	request := &wire.ReturnRequest{Holding: e.holding, Account: "acme", Epoch: e.epoch, Amount: e.free, Sequence: uint64(time.Now().UnixNano())}
	e.free = 0
	for range 2 {
		_, _ = r.holder(zone).Return(context.Background(), request)
	}
}

// loseDisks replaces the disk of a zone at any moment, or, with complete
// copies, that of a second zone right after the restore as well. The entry
// instances hand over their retained bills, and the zone frees its stranded
// tokens.
func (r *random) loseDisks(lost []string) {
	if r.diskLost || len(lost) > 1 {
		r.heal()
		r.waitForReplication()
	}
	r.diskLost = true
	r.stop(lost[0])
	r.heal()
	for _, zone := range lost {
		r.diskLosses[zone]++
		r.replaceDisk(zone)
		r.handOver(r.waitForLedger(zone), r.entries[zone])
	}
}

func (r *random) handOver(h *Holder, e *instance) {
	r.holderEntries[e.zone].epoch = 0 // its process has ended
	epoch := h.Ledger().Epoch()
	r.mu.Lock()
	retained := e.retained
	e.retained = nil
	r.mu.Unlock()
	for _, batch := range append(retained, &wire.SettleRequest{Epoch: epoch - 1}) {
		request := &wire.KeepRequest{Holding: e.holding, Zone: e.zone, Epoch: batch.Epoch, Bills: batch.Bills}
		if len(batch.Bills) == 0 {
			request.Since = 1
		}
		if batch.Epoch == epoch {
			continue
		}
		waitFor(r.t, "handover in "+e.zone, func() bool {
			reply, err := h.Keep(context.Background(), request)
			return err == nil && reply.Fault == nil
		})
	}
}

// waitForReplication waits until each zone has a complete copy on all others.
func (c *cluster) waitForReplication() {
	c.t.Helper()
	waitFor(c.t, "copies", func() bool {
		for _, zone := range zones {
			h := c.holder(zone)
			for _, other := range h.cfg.Peers {
				copied, err := c.holder(other).replica(zone, false)
				if err != nil || copied == nil || !copied.isComplete(h.Ledger().Epoch(), h.journal.Next()) {
					return false
				}
			}
		}
		return true
	})
}

func (r *replica) isComplete(epoch, next uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Epochs[r.state.Front] == epoch && r.active().Next() == next
}

// checkInvariants checks what must hold at any moment.
func (r *random) checkInvariants() {
	pool := r.log.read().Pools[0]
	sum := pool.Unassigned
	for _, zone := range zones {
		sum += pool.Zones[zone]
		if pool.Zones[zone] < 0 {
			r.t.Fatalf("assigned to %s: got %d tokens, want at least 0", zone, pool.Zones[zone])
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
		r.t.Fatalf("billed: got %d, want at most %d", spent, randomBudget)
	}
	for _, zone := range zones {
		if n := r.holder(zone).Ledger().Violations(); n > 0 {
			r.t.Fatalf("violations in %s: got %d, want 0", zone, n)
		}
	}
}

// finish heals the network and checks the balances and bills.
func (r *random) finish() {
	r.heal()
	r.net.injectFaults(nil)
	r.waitForReplication()
	r.verify()
	r.net.delayed.Wait()
	for _, zone := range zones {
		r.draw(r.entries[zone], 0)
		r.draw(r.holderEntries[zone], 0)
		h := r.holder(zone)
		balances := tally(h.Ledger(), "acme")
		if got, want := r.entries[zone].free+r.holderEntries[zone].free, balances.Allowances; got != want {
			r.t.Errorf("allowances of the entry instances of %s: got %d tokens, want %d", zone, got, want)
		}
		if r.diskLosses[zone] == 1 && h.handovers.lastComplete > 0 && balances.Stranded > 0 {
			r.t.Errorf("stranded in %s after the handover: got %d tokens, want 0", zone, balances.Stranded)
		}
	}
	waitFor(r.t, "no duplicate bills", func() bool { return r.duplicateBill() == "" })
	for request := range r.billed {
		waitFor(r.t, "bill of acknowledged request "+request+" in the ledger", func() bool {
			bill, _ := r.holder("a").Ledger().FindBill("acme", request, nil)
			return bill != nil
		})
	}
}

// duplicateBill returns a request that two zones have billed, or "".
func (r *random) duplicateBill() string {
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
