package issuer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// An order to a target that never announces itself must not stay pending forever
// and block the orders behind it, and its outcome must not claim that it ran.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.faultFree = true
		for n := range 2 {
			command := &wire.Command{Change: &wire.Command_Order{Order: &wire.Order{Target: "gone", Verb: Load, Subject: "m", Request: fmt.Sprint(n)}}}
			if err := c.commit(c.members[0], command); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), DefaultExpiry+time.Minute)
		defer cancel()
		c.issuer(0).Run(ctx)
		reply, err := c.members[0].Read(t.Context(), &wire.ReadRequest{Stale: true, Orders: true})
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range reply.Orders {
			if o.Outcome != Expired || !strings.Contains(o.Detail, "not sent within") {
				t.Errorf("order %d: got outcome %q %q, want expired and not sent", o.Fence, o.Outcome, o.Detail)
			}
		}
	})
}
