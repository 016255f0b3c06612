package issuer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	simulations          = 40
	ordersPerSimulation  = 30
	targetsPerSimulation = 4
)

// Under lost responses, lost commits, late delivery, duplicate orders and leader
// changes, each target must get its orders in sequence and one at a time, the model
// must stay in service, the load rate limit must hold, and each outcome must be
// correct. All orders must end once the faults are off.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(simulations) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newCluster(t, seed).run() })
		})
	}
}

func (c *cluster) run() {
	ctx, cancel := context.WithCancel(c.t.Context())
	var group sync.WaitGroup
	for n := range targetsPerSimulation {
		name := fmt.Sprint("engine-", n)
		c.targets[name] = &fakeTarget{
			announced: &wire.Target{Name: name, Address: name, Kind: kindEngine, State: stateReady, Fencing: n%2 == 0},
			models:    []string{"m"},
		}
	}
	c.announce()
	for n := range c.members {
		group.Go(func() { c.issuer(n).Run(ctx) })
	}
	group.Go(func() {
		for ctx.Err() == nil {
			pause(ctx, time.Second)
			c.announce()
		}
	})
	start := time.Now()
	for n := range ordersPerSimulation {
		c.submit(n)
		pause(ctx, c.delay(3*time.Second))
		c.mu.Lock()
		isElection := c.chance(0.2)
		c.mu.Unlock()
		if isElection {
			c.elect(ctx)
		}
	}
	c.mu.Lock()
	c.faultFree = true
	c.mu.Unlock()
	// Each target may have to wait for the quiet period and the load rate limit.
	time.Sleep(3 * time.Minute)
	cancel()
	group.Wait()
	c.check(time.Since(start))
}

// submit commits an order and sometimes a duplicate of it.
func (c *cluster) submit(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verb := Load
	if c.rng.IntN(2) == 0 {
		verb = Unload
	}
	target := fmt.Sprint("engine-", c.rng.IntN(targetsPerSimulation))
	command := &wire.Command{Change: &wire.Command_Order{Order: &wire.Order{Target: target, Verb: verb, Subject: "m", Request: fmt.Sprint(n)}}}
	for range 1 + c.rng.IntN(2) {
		if err := c.commit(c.members[c.leader], command); err != nil {
			c.t.Errorf("order %d: %v", n, err)
		}
	}
}

func (c *cluster) check(elapsed time.Duration) {
	c.t.Helper()
	m := c.members[c.leader]
	c.catchUp(m, len(c.log))
	reply, err := m.Read(c.t.Context(), &wire.ReadRequest{Stale: true, Orders: true})
	if err != nil {
		c.t.Fatal(err)
	}
	if got := len(reply.Orders); got != ordersPerSimulation {
		c.t.Errorf("orders: got %d, want %d", got, ordersPerSimulation)
	}
	last := map[string]uint64{}
	for _, o := range reply.Orders {
		t := c.targets[o.Order.Target]
		isObeyed := slices.Contains(t.obeyed, o.Fence)
		switch {
		case o.Outcome == Obeyed && isObeyed, o.Outcome == Refused && !isObeyed, o.Outcome == Superseded:
		default:
			c.t.Errorf("order %d to %s: got outcome %q, want it to match obeyed=%v", o.Fence, o.Order.Target, o.Outcome, isObeyed)
		}
		if o.Fence != last[o.Order.Target]+1 {
			c.t.Errorf("order to %s: got fence %d after %d, want the next number", o.Order.Target, o.Fence, last[o.Order.Target])
		}
		last[o.Order.Target] = o.Fence
	}
	// An attempt may run up to the timeout after the limiter admitted it.
	if got, most := len(c.loads), int((elapsed+DefaultTimeout)/DefaultLoadInterval)+1; got > most {
		c.t.Errorf("loads: got %d in %v, want at most %d", got, elapsed, most)
	}
	for i := 5; i < len(c.loads); i++ {
		if got, least := c.loads[i].Sub(c.loads[i-5]), 5*DefaultLoadInterval-DefaultTimeout; got < least {
			c.t.Errorf("six loads: got an interval of %v, want at least %v", got, least)
		}
	}
}
