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

// An order to a target that never announces itself must not stay pending for
// ever and block the orders behind it, and must not claim that it ran.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		w.calm = true
		for n := range 2 {
			command := &wire.Command{Change: &wire.Command_Order{Order: &wire.Order{Target: "gone", Verb: Load, Subject: "m", Request: fmt.Sprint(n)}}}
			if err := w.commit(w.members[0], command); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), DefaultExpiry+time.Minute)
		defer cancel()
		w.issuer(0).Run(ctx)
		reply, err := w.members[0].Read(t.Context(), &wire.ReadRequest{Stale: true, Orders: true})
		if err != nil {
			t.Fatal(err)
		}
		for _, o := range reply.Orders {
			if o.Outcome != Expired || !strings.Contains(o.Detail, "it was not sent") {
				t.Errorf("order %d: got %q %q, want it expired without a sending", o.Fence, o.Outcome, o.Detail)
			}
		}
	})
}
