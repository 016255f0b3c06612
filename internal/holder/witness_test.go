package holder

import (
	"context"
	"sync"
	"testing"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

// A bill that is only on the disk of the holder must not be acknowledged to a
// caller of the holder, by a settle or a lookup, before a witness has it. With
// the bills of the witness, the tokens stranded by a disk loss must become free
// without a handover of the holder, even if it restarts. Without other
// instances in the zone they must stay stranded.
func TestWitness(t *testing.T) {
	for _, test := range []struct {
		name         string
		witnesses    []string
		reachable    bool
		acknowledged bool
		freed        bool
	}{
		{"witness", []string{"gone", "entry-a"}, true, true, true},
		{"no witness reachable", []string{"gone", "entry-a"}, false, false, true},
		{"no other instance", nil, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var mu sync.Mutex
			var retained []*wire.Bill
			c := newCluster(t, map[string]int64{"acme": 6000}, func(cfg *Config) {
				if cfg.Zone != "a" {
					return
				}
				cfg.Instances = func() []string { return []string{"a", "entry-a", "entry-b"} }
				cfg.LocalInstances = test.witnesses
				cfg.RetainBills = func(_ context.Context, name string, q *wire.CopyRequest) (*wire.CopyReply, error) {
					if name == "gone" || !test.reachable {
						return nil, errNetwork
					}
					mu.Lock()
					defer mu.Unlock()
					var err error
					retained, _, err = ledger.ExtractBills("a", nil, q.Records)
					return &wire.CopyReply{}, err
				}
			})
			a := c.holder("a")
			epoch := mustDraw(t, a, 1000)
			own := settleRequest(epoch, "r1", 300)
			own.Holding = &wire.Holding{Instance: "a", Incarnation: 1}
			if reply, _ := a.Draw(context.Background(), &wire.DrawRequest{Holding: own.Holding, Account: "acme", Need: 300}); reply.Fault != nil {
				t.Fatal(reply.Fault)
			}
			c.waitForReplication()
			c.net.isolate("a", true)
			if reply, _ := a.Settle(context.Background(), own); (reply.Fault == nil) != test.acknowledged {
				t.Errorf("settle: got fault %v, want acknowledged %v", reply.Fault, test.acknowledged)
			}
			if reply, _ := a.Find(context.Background(), &wire.FindRequest{Account: "acme", Request: "r1"}); reply.Known != test.acknowledged {
				t.Errorf("lookup: got %v, want known %v", reply, test.acknowledged)
			}
			c.stop("a")
			c.net.isolate("a", false)
			c.replaceDisk("a")
			a = c.waitForLedger("a")
			keep := func(bills []*wire.Bill, name string, since uint64) string {
				h := &wire.Holding{Instance: name, Incarnation: 1}
				reply, _ := a.Keep(context.Background(), &wire.KeepRequest{Holding: h, Zone: "a", Epoch: epoch, Bills: bills, Since: since})
				return reply.Fault.GetCode()
			}
			if len(retained) > 0 {
				c.net.isolate("a", true)
				if got, want := keep(retained, "entry-a", 0), fault.Unavailable.Code(); got != want {
					t.Errorf("retained bills without a copy: got %q, want %q", got, want)
				}
				c.net.isolate("a", false)
				waitFor(t, "hand-over", func() bool { return keep(retained, "entry-a", 0) == "" })
			}
			if got := keep(nil, "entry-a", 1); got != "" {
				t.Fatalf("handover: got fault %q, want none", got)
			}
			c.stop("a")
			c.start("a")
			a = c.waitForLedger("a")
			if got := keep(nil, "entry-b", 1); got != "" {
				t.Fatalf("handover after a restart: got fault %q, want none", got)
			}
			waitFor(t, "rights", func() bool { return (tally(a.Ledger(), "acme").Stranded == 0) == test.freed })
			if got, want := tally(a.Ledger(), "acme").Billed, int64(300*len(retained)); got != want {
				t.Errorf("billed: got %d, want %d", got, want)
			}
			c.verify()
		})
	}
}
