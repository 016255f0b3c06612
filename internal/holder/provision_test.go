package holder

import (
	"context"
	"testing"

	"github.com/papayapond/papayapond/internal/wire"
)

// A zone that holds tokens for the next few seconds only would refuse nearly
// all requests during a partition.
func TestProvisionCoversLongPartition(t *testing.T) {
	c := newCluster(t, map[string]int64{"ibumba": 1200})
	for _, zone := range zones {
		l := c.waitForLedger(zone).Ledger()
		waitFor(t, "initial grant of "+zone, func() bool { return tally(l, "ibumba").Free == 200 })
	}
	h := c.holder("a")
	l := h.Ledger()
	draw(t, h, 50)
	h.provision(t.Context(), l)
	if got, want := tally(l, "ibumba").Free, int64(450); got != want {
		t.Errorf("free tokens: got %d, want %d, with half of the unassigned tokens added", got, want)
	}
}

// Without unassigned tokens, idle tokens of one zone would be missing in the
// zone with the demand.
func TestProvisionTakesFromIdleZones(t *testing.T) {
	c := newCluster(t, map[string]int64{"ibumba": 1200})
	for _, zone := range zones {
		l := c.waitForLedger(zone).Ledger()
		waitFor(t, "initial grant of "+zone, func() bool { return tally(l, "ibumba").Free == 200 })
	}
	c.log.mu.Lock()
	c.log.pools["ibumba"].Unassigned = 0
	c.log.mu.Unlock()
	h := c.holder("a")
	draw(t, h, 50)
	settle(t, h, 50)
	h.provision(t.Context(), h.Ledger())
	if got, want := tally(h.Ledger(), "ibumba").Free, int64(350); got != want {
		t.Errorf("free tokens: got %d, want %d, with half of the other zones' added", got, want)
	}
}

func settle(t *testing.T, h *Holder, amount int64) {
	t.Helper()
	reply, err := h.Settle(t.Context(), &wire.SettleRequest{
		Holding: &wire.Holding{Instance: "entry-a", Incarnation: 1}, Epoch: h.Ledger().Epoch(),
		Bills: []*wire.Bill{{Account: "ibumba", Request: "r", Digest: make([]byte, 32), Amount: amount, Reserved: amount}}})
	if err != nil || reply.Fault != nil {
		t.Fatalf("settle: got %v, %v", reply.GetFault(), err)
	}
}

func draw(t *testing.T, h *Holder, amount int64) {
	t.Helper()
	reply, err := h.Draw(context.Background(), &wire.DrawRequest{
		Holding: &wire.Holding{Instance: "entry-a", Incarnation: 1}, Account: "ibumba", Need: amount, Want: amount})
	if err != nil || reply.Fault != nil {
		t.Fatalf("draw: got %v, %v", reply.GetFault(), err)
	}
}
