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

// A check of TestRandom takes about a second.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "20"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

var entry = &wire.Holding{Instance: "entry-a", Incarnation: 1}

// A lost or repeated answer of the log must not grant twice, and the settle
// must not be acknowledged before another disk has it.
func TestDrawAndSettle(t *testing.T) {
	for _, test := range []struct {
		name    string
		trouble trouble
	}{{"no trouble", none}, {"lost replies", loseReply}, {"repeated calls", duplicate}} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, map[string]int64{"acme": 6000})
			count := 0
			c.net.disturb(func(link string) trouble {
				if count++; count%2 == 0 || link != "a-log" {
					return none
				}
				return test.trouble
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

// A restart must neither lose bills nor use the sequence of a grant twice.
func TestRestart(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000, "other": 6000})
	c.seeded()
	for i := range 3 {
		epoch := mustDraw(t, c.holder("a"), 1000)
		mustSettle(t, c.holder("a"), epoch, fmt.Sprint(i), 1000)
		c.stop("a")
		c.net.isolate("a", true)
		c.start("a")
		if got, want := c.ready("a").Ledger().Epoch(), epoch; got != want {
			t.Errorf("epoch: got %d, want %d", got, want)
		}
		c.net.isolate("a", false)
	}
	if got, want := tally(c.holder("a").Ledger(), "acme").Billed, int64(3000); got != want {
		t.Errorf("billed: got %d, want %d", got, want)
	}
	c.verify()
}

// A zone alone must go on settling and say that the bills are on one disk, and
// must stop saying so when the copies are back.
func TestSolo(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	a := c.holder("a")
	epoch := mustDraw(t, a, 1000)
	c.net.isolate("a", true)
	reply := mustSettle(t, a, epoch, "r1", 500)
	if !reply.Solo || reply.Copied >= reply.Position {
		t.Errorf("got solo %v, copied %d of %d; want solo", reply.Solo, reply.Copied, reply.Position)
	}
	c.net.isolate("a", false)
	waitFor(t, "copy", func() bool {
		again, err := a.Settle(context.Background(), &wire.SettleRequest{Holding: entry, Epoch: epoch})
		return err == nil && again.Copied >= reply.Position
	})
	if reply := mustSettle(t, a, epoch, "r2", 500); reply.Solo {
		t.Error("got solo, want a copy")
	}
	c.verify()
}

// Acknowledged bills must survive the loss of a disk, and the loss of another
// one right after the repair; rights that the lost journal may have spent must
// not be spent again.
func TestRestore(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	epoch := mustDraw(t, c.holder("a"), 1000)
	mustSettle(t, c.holder("a"), epoch, "r1", 400)
	c.lose("a")
	a := c.ready("a")
	if reply, _ := a.Settle(context.Background(), settleRequest(epoch, "r2", 100)); reply.Outcomes[0] != wire.Outcome_OUTCOME_FENCED {
		t.Errorf("bill of the lost epoch: got %v, want %v", reply.Outcomes[0], wire.Outcome_OUTCOME_FENCED)
	}
	if got := tally(a.Ledger(), "acme"); got.Billed != 400 || got.Stranded != got.Granted-got.Released-400 {
		t.Errorf("got %v, want 400 billed and the rest stranded", got)
	}
	epoch = mustDraw(t, a, 1000)
	mustSettle(t, a, epoch, "r3", 300)
	c.verify()

	c.lose("b")
	c.ready("b")
	c.lose("a")
	a = c.ready("a")
	if got, want := tally(a.Ledger(), "acme").Billed, int64(700); got != want {
		t.Errorf("billed: got %d, want %d", got, want)
	}
	c.verify()
}

// A restore from nothing, or before the holder with the longest copy answers,
// loses acknowledged bills.
func TestRestoreWaits(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	epoch := mustDraw(t, c.holder("a"), 1000)
	c.net.set("a-c", true)
	mustSettle(t, c.holder("a"), epoch, "r1", 400)
	c.net.set("a-c", false)
	c.net.set("a-b", true)
	c.lose("a")
	if reply, _ := c.holder("a").Draw(context.Background(), drawRequest(1)); reply.Fault.GetCode() != fault.Unavailable.Code() {
		t.Errorf("fault: got %v, want %v", reply.Fault, fault.Unavailable)
	}
	c.net.set("a-b", false)
	if got, want := tally(c.ready("a").Ledger(), "acme").Billed, int64(400); got != want {
		t.Errorf("billed: got %d, want %d", got, want)
	}
	c.verify()
}

// Rights that other zones don't use must be available, to the last token.
func TestDrainedRights(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	c.reserve.Store(0)
	c.seeded()
	for i, amount := range []int64{3000, 1500, 750, 400, 200, 149, 1} {
		epoch := mustDraw(t, c.holder("a"), amount)
		mustSettle(t, c.holder("a"), epoch, fmt.Sprint(i), amount)
	}
	if reply, _ := c.holder("a").Draw(context.Background(), drawRequest(1)); reply.Fault.GetCode() != fault.Exhausted.Code() {
		t.Errorf("fault: got %v, want %v", reply.Fault, fault.Exhausted)
	}
	c.verify()
}

// A reserve that is kept to the end refuses requests although tokens are left.
func TestSpentWithReserve(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	c.seeded()
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

// At dissolution, rights that stay in a zone would be owed for ever.
func TestReleaseClosing(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	epoch := mustDraw(t, c.holder("a"), 1000)
	mustSettle(t, c.holder("a"), epoch, "r1", 400)
	back := &wire.ReturnRequest{Holding: entry, Account: "acme", Epoch: epoch, Amount: 600, Sequence: 1}
	if reply, err := c.holder("a").Return(context.Background(), back); err != nil || reply.Fault != nil {
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

// A request that both sides of a partition ran must be paid once.
func TestMerge(t *testing.T) {
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

// The same must hold for a partition that outlasts the time for which requests
// are recognised, when the journals have been compacted meanwhile.
func TestMergeAfterLongPartition(t *testing.T) {
	var ahead atomic.Int64
	c := newCluster(t, map[string]int64{"acme": 6000}, func(cfg *Config) {
		cfg.CompactBytes = 1 << 10
		cfg.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	})
	bill := func(zone, request string) {
		t.Helper()
		epoch := mustDraw(t, c.holder(zone), 500)
		mustSettle(t, c.holder(zone), epoch, request, 400)
	}
	bill("a", "r0")
	waitFor(t, "exchange of the bills", func() bool { return c.holder("b").exchanged.Load() > 0 })
	c.net.isolate("b", true)
	bill("a", "r1")
	bill("b", "r1")
	ahead.Store(int64(30 * time.Hour))
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

// Stranded rights must stay so until every entry instance has proved that it
// has no more bills.
func TestKeepFrees(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 6000})
	epoch := mustDraw(t, c.holder("a"), 1000)
	mustSettle(t, c.holder("a"), epoch, "r0", 100)
	c.net.isolate("a", true)
	kept := settleRequest(epoch, "r1", 300)
	if reply, _ := c.holder("a").Settle(context.Background(), kept); !reply.Solo {
		t.Fatal("got a copy, want solo")
	}
	c.stop("a")
	c.net.isolate("a", false)
	c.lose("a")
	a := c.ready("a")
	keep := func(since uint64) *wire.Tally {
		request := &wire.KeepRequest{Holding: entry, Zone: "a", Epoch: epoch, Bills: kept.Bills, Since: since}
		if reply, err := a.Keep(context.Background(), request); err != nil || reply.Fault != nil {
			t.Fatal(err, reply.Fault)
		}
		return tally(a.Ledger(), "acme")
	}
	if got := keep(uint64(a.cfg.Now().UnixNano())); got.Billed != 400 || got.Stranded == 0 {
		t.Errorf("late incarnation: got %v, want 400 billed and stranded rights", got)
	}
	if got := keep(1); got.Billed != 400 || got.Stranded != 0 {
		t.Errorf("proof: got %v, want 400 billed and nothing stranded", got)
	}
	c.verify()
}

// A page that is too large for one message makes the books unreadable.
func TestTallyPages(t *testing.T) {
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

// seeded waits for the initial share of each zone.
func (c *cluster) seeded() {
	c.t.Helper()
	waitFor(c.t, "initial shares", func() bool {
		for _, zone := range zones {
			if tally(c.holder(zone).Ledger(), "acme").Granted == 0 {
				return false
			}
		}
		return true
	})
}

// lose stops the holder of a zone, if it runs, and starts it on an empty disk.
func (c *cluster) lose(zone string) {
	c.t.Helper()
	c.stop(zone)
	if err := os.RemoveAll(c.paths[zone]); err != nil {
		c.t.Fatal(err)
	}
	c.start(zone)
}

// verify checks that the log and the zones agree and that no budget is
// overspent.
func (c *cluster) verify() {
	c.t.Helper()
	waitFor(c.t, "agreement of the log and the zones", func() bool { return c.difference() == "" })
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

// difference names a zone whose books differ from the log.
func (c *cluster) difference() string {
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
	return &wire.DrawRequest{Holding: entry, Account: "acme", Need: need, Want: need}
}

func settleRequest(epoch uint64, request string, amount int64) *wire.SettleRequest {
	return &wire.SettleRequest{Holding: entry, Epoch: epoch, Bills: []*wire.Bill{{Account: "acme", Request: request, Amount: amount, Reserved: amount}}}
}

// mustDraw draws and returns the epoch of the allowance.
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
