package holder

import (
	"context"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// Requests of other zones must not take the reserve of a zone.
func TestReleaseKeepsReserve(t *testing.T) {
	c := newCluster(t, map[string]int64{"acme": 60_000})
	b := c.holder("b")
	mustDraw(t, b, 1)
	for range 20 {
		if _, err := b.Release(context.Background(), &wire.ReleaseRequest{Account: "acme", Amount: 60_000}); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := tally(b.Ledger(), "acme").Free, int64(10_000/4); got != want {
		t.Errorf("free: got %d, want %d", got, want)
	}
	c.verify()
}

// Instances of other zones must leave the reserve untouched while tokens are
// left elsewhere or a zone is unreachable. They may use it when the budget is
// nearly spent.
func TestDrawKeepsReserve(t *testing.T) {
	remote := &wire.Holding{Instance: "entry-b", Incarnation: 1}
	for _, test := range []struct {
		name    string
		holding *wire.Holding
		spent   bool // bill all but 3,750 tokens, which are free in zone a
		cut     bool // cut the link from zone a to zone c
		need    int64
		want    bool
	}{
		{"without the reserve", remote, false, false, 7_500, true},
		{"into the reserve", remote, false, false, 7_501, false},
		{"own zone", entryHolding, false, false, 10_000, true},
		{"nearly spent", remote, true, false, 3_750, true},
		{"nearly spent and a zone unreachable", remote, true, true, 3_750, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, map[string]int64{"acme": 60_000})
			c.waitForInitialGrants()
			a := c.holder("a")
			if test.spent {
				for _, zone := range []string{"b", "c", "a"} {
					l, amount := c.holder(zone).Ledger(), int64(10_000)
					if _, _, err := l.Draw(entryHolding, "acme", 10_000, 0, 0); err != nil {
						t.Fatal(err)
					}
					if zone == "a" {
						mustDraw(t, a, 30_000)
						amount = 36_250
					}
					mustSettle(t, c.holder(zone), l.Epoch(), zone, amount)
				}
				if err := a.Ledger().Return(entryHolding, "acme", a.Ledger().Epoch(), 3_750, 1); err != nil {
					t.Fatal(err)
				}
			} else {
				c.net.setCut("a-log", true) // the log would grant more
			}
			c.net.setCut("a-c", test.cut)
			reply, err := a.Draw(context.Background(), &wire.DrawRequest{Holding: test.holding, Account: "acme", Need: test.need})
			if err != nil || (reply.Fault == nil) != test.want {
				t.Errorf("got %v, %v, balances %v; want success %v", reply, err, tally(a.Ledger(), "acme"), test.want)
			}
		})
	}
}

// An isolated zone without tokens must refuse at once, also when a draw is the
// first call to notice the isolation, and must get tokens again when it is
// reconnected.
func TestDrawWhileIsolated(t *testing.T) {
	for _, before := range []time.Duration{0, unreachableAfter + 500*time.Millisecond} {
		t.Run(before.String(), func(t *testing.T) {
			c := newCluster(t, map[string]int64{"acme": 60_000})
			c.waitForInitialGrants()
			a := c.holder("a")
			c.net.isolate("a", true)
			time.Sleep(before)
			for i := range 3 {
				start, most := time.Now(), 200*time.Millisecond
				if i == 0 && before == 0 {
					most = grantTimeout + 300*time.Millisecond
				}
				if reply, _ := a.Draw(context.Background(), drawRequest(20_000)); reply.Fault.GetCode() != fault.Exhausted.Code() {
					t.Errorf("draw %d: got %v, want %v", i, reply, fault.Exhausted)
				}
				if got := time.Since(start); got > most {
					t.Errorf("draw %d: got a refusal after %v, want it within %v", i, got, most)
				}
				time.Sleep(600 * time.Millisecond)
			}
			c.net.isolate("a", false)
			waitFor(t, "rights", func() bool {
				reply, _ := a.Draw(context.Background(), drawRequest(20_000))
				return reply.Fault == nil
			})
		})
	}
}
