package holder

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// Each check of TestRandom takes about a second.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "20"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

var entryHolding = &wire.Holding{Instance: "entry-a", Incarnation: 1}

// A lost or repeated reply of the log must not grant twice, and a settle must
// not be acknowledged before another disk has the records.
func TestDrawAndSettle(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault networkFault
	}{{"no faults", noFault}, {"lost replies", loseReply}, {"repeated calls", duplicate}} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, map[string]int64{"acme": 6000})
			count := 0
			c.net.injectFaults(func(link string) networkFault {
				if count++; count%2 == 0 || link != "a-log" {
					return noFault
				}
				return test.fault
			})
			epoch := mustDraw(t, c.holder("a"), 3000)
			reply := mustSettle(t, c.holder("a"), epoch, "r1", 2500)
			if got, want := reply.Outcomes[0], wire.Outcome_OUTCOME_BILLED; got != want {
				t.Errorf("outcome: got %v, want %v", got, want)
			}
			if reply.Solo || reply.Copied < reply.Position {
				t.Errorf("got solo %v, copied %d; want a copy before %d", reply.Solo, reply.Copied, reply.Position)
			}
			c.verify()
		})
	}
}

// A restart must neither lose bills nor reuse the sequence of a grant.
func TestRestart(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000, "other": 6000})
	c.waitForInitialGrants()
	for i := range 3 {
		epoch := mustDraw(t, c.holder("a"), 1000)
		mustSettle(t, c.holder("a"), epoch, fmt.Sprint(i), 1000)
		c.stop("a")
		c.net.isolate("a", true)
		c.start("a")
		if got, want := c.waitForLedger("a").Ledger().Epoch(), epoch; got != want {
			t.Errorf("epoch: got %d, want %d", got, want)
		}
		c.net.isolate("a", false)
	}
	if got, want := tally(c.holder("a").Ledger(), "acme").Billed, int64(3000); got != want {
		t.Errorf("billed: got %d, want %d", got, want)
	}
	c.verify()
}

// An isolated zone must keep settling and report that the bills are on one disk
// only. It must stop reporting this once the copies are complete again.
func TestSoloMode(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	a := c.holder("a")
	epoch := mustDraw(t, a, 1000)
	c.net.isolate("a", true)
	reply := mustSettle(t, a, epoch, "r1", 500)
	if !reply.Solo || reply.Copied >= reply.Position {
		t.Errorf("got solo %v, copied position %d of %d; want solo", reply.Solo, reply.Copied, reply.Position)
	}
	c.net.isolate("a", false)
	waitFor(t, "copy", func() bool {
		again, err := a.Settle(context.Background(), &wire.SettleRequest{Holding: entryHolding, Epoch: epoch})
		return err == nil && again.Copied >= reply.Position
	})
	if reply := mustSettle(t, a, epoch, "r2", 500); reply.Solo {
		t.Error("got solo mode, want a copy")
	}
	c.verify()
}

// Acknowledged bills must survive the loss of a disk, and the loss of another
// one right after the restore. Tokens that the lost journal may have spent must
// not be spent again.
func TestRestore(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	epoch := mustDraw(t, c.holder("a"), 1000)
	mustSettle(t, c.holder("a"), epoch, "r1", 400)
	c.replaceDisk("a")
	a := c.waitForLedger("a")
	if reply, _ := a.Settle(context.Background(), settleRequest(epoch, "r2", 100)); reply.Outcomes[0] != wire.Outcome_OUTCOME_FENCED {
		t.Errorf("bill of the lost epoch: got %v, want %v", reply.Outcomes[0], wire.Outcome_OUTCOME_FENCED)
	}
	if got := tally(a.Ledger(), "acme"); got.Billed != 400 || got.Stranded != got.Granted-got.Released-400 {
		t.Errorf("got %v, want 400 billed and the rest stranded", got)
	}
	epoch = mustDraw(t, a, 1000)
	mustSettle(t, a, epoch, "r3", 300)
	c.verify()

	c.replaceDisk("b")
	c.waitForLedger("b")
	c.replaceDisk("a")
	a = c.waitForLedger("a")
	if got, want := tally(a.Ledger(), "acme").Billed, int64(700); got != want {
		t.Errorf("billed: got %d, want %d", got, want)
	}
	c.verify()
}

// A restore without a copy, or before the holder with the longest copy replies,
// would lose acknowledged bills.
func TestRestoreWaitsForLongestCopy(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	epoch := mustDraw(t, c.holder("a"), 1000)
	c.net.setCut("a-c", true)
	mustSettle(t, c.holder("a"), epoch, "r1", 400)
	c.net.setCut("a-c", false)
	c.net.setCut("a-b", true)
	c.replaceDisk("a")
	if reply, _ := c.holder("a").Draw(context.Background(), drawRequest(1)); reply.Fault.GetCode() != fault.Unavailable.Code() {
		t.Errorf("fault: got %v, want %v", reply.Fault, fault.Unavailable)
	}
	c.net.setCut("a-b", false)
	if got, want := tally(c.waitForLedger("a").Ledger(), "acme").Billed, int64(400); got != want {
		t.Errorf("billed: got %d, want %d", got, want)
	}
	c.verify()
}

// Tokens that other zones don't use must be available, down to the last one.
func TestDrawTokensOfOtherZones(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	c.reserve.Store(0)
	c.waitForInitialGrants()
	for i, amount := range []int64{3000, 1500, 750, 400, 200, 149, 1} {
		epoch := mustDraw(t, c.holder("a"), amount)
		mustSettle(t, c.holder("a"), epoch, fmt.Sprint(i), amount)
	}
	if reply, _ := c.holder("a").Draw(context.Background(), drawRequest(1)); reply.Fault.GetCode() != fault.Exhausted.Code() {
		t.Errorf("fault: got %v, want %v", reply.Fault, fault.Exhausted)
	}
	c.verify()
}

// A reserve kept to the end would refuse requests although tokens are left.
func TestNearlySpentBudgetUsesReserve(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	c.waitForInitialGrants()
	const amount = 20
	billed, refused := int64(0), 0
	for i := 0; refused < len(zones); i++ {
		h := c.holder(zones[i%len(zones)])
		reply, err := h.Draw(context.Background(), drawRequest(amount))
		if err != nil {
			t.Fatal(err)
		}
		if reply.Fault != nil {
			refused++
			continue
		}
		refused = 0
		mustSettle(t, h, reply.Epoch, fmt.Sprint(i), amount)
		billed += amount
	}
	if got, least := billed, int64(6000-amount); got < least {
		t.Errorf("billed: got %d, want at least %d", got, least)
	}
	c.verify()
}

// At dissolution, tokens that stay in a zone would never be refunded.
func TestReleaseOnDissolution(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	epoch := mustDraw(t, c.holder("a"), 1000)
	mustSettle(t, c.holder("a"), epoch, "r1", 400)
	request := &wire.ReturnRequest{Holding: entryHolding, Account: "acme", Epoch: epoch, Amount: 600, Sequence: 1}
	if reply, err := c.holder("a").Return(context.Background(), request); err != nil || reply.Fault != nil {
		t.Fatal(err, reply.Fault)
	}
	for _, zone := range zones {
		if reply, err := c.holder(zone).Release(context.Background(), &wire.ReleaseRequest{Closing: true}); err != nil || reply.Fault != nil {
			t.Fatal(err, reply.Fault)
		}
	}
	waitFor(t, "refund", func() bool { return c.log.read().Pools[0].Unassigned >= 5000 })
	c.verify()
}

// A request that both sides of a partition ran must be billed once.
func TestMergeCancelsDuplicate(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	for _, zone := range []string{"a", "b"} {
		mustDraw(t, c.holder(zone), 500)
	}
	c.net.isolate("b", true)
	for _, zone := range []string{"a", "b"} {
		mustSettle(t, c.holder(zone), c.holder(zone).Ledger().Epoch(), "r1", 400)
	}
	c.net.isolate("b", false)
	waitFor(t, "cancelled duplicate", func() bool {
		return tally(c.holder("a").Ledger(), "acme").Billed == 400 && tally(c.holder("b").Ledger(), "acme").Billed == 0
	})
	c.verify()
}

// The same must hold for a partition that outlasts the retention time of
// request identities, with journals compacted meanwhile.
func TestMergeAfterLongPartition(t *testing.T) {
	var clockOffset atomic.Int64
	c := newCluster(t, map[string]int64{"acme": 6000}, func(cfg *Config) {
		cfg.CompactBytes = 1 << 10
		cfg.Now = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	})
	bill := func(zone, request string) {
		t.Helper()
		epoch := mustDraw(t, c.holder(zone), 500)
		mustSettle(t, c.holder(zone), epoch, request, 400)
	}
	bill("a", "r0")
	waitFor(t, "exchange of the bills", func() bool { return c.holder("b").exchangedNanos.Load() > 0 })
	c.net.isolate("b", true)
	bill("a", "r1")
	bill("b", "r1")
	clockOffset.Store(int64(30 * time.Hour))
	for n := range 20 {
		for _, zone := range []string{"a", "b"} {
			mustSettle(t, c.holder(zone), c.holder(zone).Ledger().Epoch(), fmt.Sprint(zone, n), 0)
		}
	}
	c.net.isolate("b", false)
	waitFor(t, "cancelled duplicate", func() bool {
		return tally(c.holder("a").Ledger(), "acme").Billed == 800 && tally(c.holder("b").Ledger(), "acme").Billed == 0
	})
	c.verify()
}

// Stranded tokens must stay stranded until every entry instance has proved that
// it has no more bills.
func TestKeepFreesStrandedTokens(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	epoch := mustDraw(t, c.holder("a"), 1000)
	mustSettle(t, c.holder("a"), epoch, "r0", 100)
	c.net.isolate("a", true)
	retained := settleRequest(epoch, "r1", 300)
	if reply, _ := c.holder("a").Settle(context.Background(), retained); !reply.Solo {
		t.Fatal("got a copy, want solo mode")
	}
	c.stop("a")
	c.net.isolate("a", false)
	c.replaceDisk("a")
	a := c.waitForLedger("a")
	keep := func(since uint64) *wire.Tally {
		request := &wire.KeepRequest{Holding: entryHolding, Zone: "a", Epoch: epoch, Bills: retained.Bills, Since: since}
		if reply, err := a.Keep(context.Background(), request); err != nil || reply.Fault != nil {
			t.Fatal(err, reply.Fault)
		}
		return tally(a.Ledger(), "acme")
	}
	if got := keep(uint64(a.cfg.Now().UnixNano())); got.Billed != 400 || got.Stranded == 0 {
		t.Errorf("late incarnation: got %v, want 400 billed and stranded tokens", got)
	}
	if got := keep(1); got.Billed != 400 || got.Stranded != 0 {
		t.Errorf("handover: got %v, want 400 billed and none stranded", got)
	}
	c.verify()
}

// A page that exceeds the size of a message would make the balances unreadable.
func TestTallyPagination(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	epoch := mustDraw(t, c.holder("a"), 1000)
	for i := range 5 {
		mustSettle(t, c.holder("a"), epoch, fmt.Sprint(i), 1)
	}
	seen := 0
	for more := true; more; {
		reply, err := c.holder("a").Tally(context.Background(), &wire.TallyRequest{Account: "acme", Bills: true, Offset: uint64(seen), Limit: 2})
		if err != nil || reply.Fault != nil || len(reply.Bills) > 2 {
			t.Fatal(err, reply)
		}
		seen += len(reply.Bills)
		more = reply.More
	}
	if got, want := seen, 5; got != want {
		t.Errorf("bills: got %d, want %d", got, want)
	}
}

// waitForInitialGrants waits for the initial grant of each zone.
func (c *cluster) waitForInitialGrants() {
	c.t.Helper()
	waitFor(c.t, "initial grants", func() bool {
		for _, zone := range zones {
			if tally(c.holder(zone).Ledger(), "acme").Granted == 0 {
				return false
			}
		}
		return true
	})
}

// replaceDisk stops the holder of a zone, if it runs, and starts it on an empty
// disk.
func (c *cluster) replaceDisk(zone string) {
	c.t.Helper()
	c.stop(zone)
	if err := os.RemoveAll(c.paths[zone]); err != nil {
		c.t.Fatal(err)
	}
	c.start(zone)
}

// verify checks that the log and the zones agree and no budget is overspent.
func (c *cluster) verify() {
	c.t.Helper()
	waitFor(c.t, "agreement of the log and the zones", func() bool { return c.mismatch() == "" })
	for _, pool := range c.log.read().Pools {
		sum, billed := pool.Unassigned, int64(0)
		for _, zone := range zones {
			sum += pool.Zones[zone]
			billed += tally(c.holder(zone).Ledger(), pool.Account).Billed
		}
		if got, want := sum, pool.Prepaid; got != want {
			c.t.Errorf("assigned and unassigned tokens: got %d, want %d", got, want)
		}
		if billed > pool.Prepaid {
			c.t.Errorf("billed: got %d of %d", billed, pool.Prepaid)
		}
	}
}

// mismatch describes a zone whose balances differ from the log, or returns "".
func (c *cluster) mismatch() string {
	for _, pool := range c.log.read().Pools {
		for _, zone := range zones {
			l := c.holder(zone).Ledger()
			if l == nil {
				return zone
			}
			r := tally(l, pool.Account)
			if r.Granted-r.Released != pool.Zones[zone] || r.Granted != r.Free+r.Allowances+r.Billed+r.Released+r.Stranded {
				return fmt.Sprintf("%s: %v, log has %d", zone, r, pool.Zones[zone])
			}
		}
	}
	return ""
}

func drawRequest(need int64) *wire.DrawRequest {
	return &wire.DrawRequest{Holding: entryHolding, Account: "acme", Need: need, Want: need}
}

func settleRequest(epoch uint64, request string, amount int64) *wire.SettleRequest {
	return &wire.SettleRequest{Holding: entryHolding, Epoch: epoch, Bills: []*wire.Bill{{Account: "acme", Request: request, Amount: amount, Reserved: amount}}}
}

// mustDraw draws tokens and returns the epoch of the allowance.
func mustDraw(t tb, h *Holder, need int64) uint64 {
	t.Helper()
	reply, err := h.Draw(context.Background(), drawRequest(need))
	if err != nil || reply.Fault != nil || reply.Amount < need {
		t.Fatalf("Draw(%d): got %v, %v", need, reply, err)
	}
	return reply.Epoch
}

func mustSettle(t tb, h *Holder, epoch uint64, request string, amount int64) *wire.SettleReply {
	t.Helper()
	settle := settleRequest(epoch, request, amount)
	settle.Bills[0].Time = h.cfg.Now().UnixNano()
	reply, err := h.Settle(context.Background(), settle)
	if err != nil || reply.Fault != nil {
		t.Fatalf("Settle(%s): got %v, %v", request, reply, err)
	}
	return reply
}
