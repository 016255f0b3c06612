package holder

import (
	"context"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// The reserve of a zone must stay there while others ask.
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

// Instances of other zones must leave the reserve to the zone while there is
// enough elsewhere or a zone is cut off, and find it when little is left.
func TestDrawKeepsReserve(t *testing.T) {
	far := &wire.Holding{Instance: "entry-b", Incarnation: 1}
	for _, test := range []struct {
		name    string
		holding *wire.Holding
		spent   bool // all but 3,750 tokens, which are free in zone a
		cut     bool // zone c from zone a
		need    int64
		want    bool
	}{
		{"beyond the reserve", far, false, false, 7_500, true},
		{"of the reserve", far, false, false, 7_501, false},
		{"own zone", entry, false, false, 10_000, true},
		{"little left", far, true, false, 3_750, true},
		{"little left and a zone cut off", far, true, true, 3_750, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, map[string]int64{"acme": 60_000})
			c.seeded()
			a := c.holder("a")
			if test.spent {
				for _, zone := range []string{"b", "c", "a"} {
					l, amount := c.holder(zone).Ledger(), int64(10_000)
					if _, _, err := l.Draw(entry, "acme", 10_000, 0, 0); err != nil {
						t.Fatal(err)
					}
					if zone == "a" {
						mustDraw(t, a, 30_000)
						amount = 36_250
					}
					mustSettle(t, c.holder(zone), l.Epoch(), zone, amount)
				}
				if err := a.Ledger().Return(entry, "acme", a.Ledger().Epoch(), 3_750, 1); err != nil {
					t.Fatal(err)
				}
			} else {
				c.net.set("a-log", true) // the log would give more
			}
			c.net.set("a-c", test.cut)
			reply, err := a.Draw(context.Background(), &wire.DrawRequest{Holding: test.holding, Account: "acme", Need: test.need})
			if err != nil || (reply.Fault == nil) != test.want {
				t.Errorf("got %v, %v, books %v; want success %v", reply, err, tally(a.Ledger(), "acme"), test.want)
			}
		})
	}
}

// A zone without rights that is cut off must refuse at once, also when the cut
// is noticed by a draw, and must get rights when it is joined again.
func TestDrawWhileCutOff(t *testing.T) {
	for _, before := range []time.Duration{0, silence + 500*time.Millisecond} {
		t.Run(before.String(), func(t *testing.T) {
			c := newCluster(t, map[string]int64{"acme": 60_000})
			c.seeded()
			a := c.holder("a")
			c.net.isolate("a", true)
			time.Sleep(before)
			for i := range 3 {
				start, most := time.Now(), 200*time.Millisecond
				if i == 0 && before == 0 {
					most = grantWait + 300*time.Millisecond
				}
				if reply, _ := a.Draw(context.Background(), drawRequest(20_000)); reply.Fault.GetCode() != fault.Exhausted.Code() {
					t.Errorf("draw %d: got %v, want %v", i, reply, fault.Exhausted)
				}
				if got := time.Since(start); got > most {
					t.Errorf("draw %d: got a refusal after %v, want within %v", i, got, most)
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
