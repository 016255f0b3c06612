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
	worlds       = 40
	worldOrders  = 30
	worldTargets = 4
)

// Under lost answers, lost commits, late bytes, resent orders and changes of
// the leader, no target may get an old order after a new one or two at a time,
// the model must stay in service, the rate of loads must hold, each order must
// get a true outcome, and all must end once the faults have ended.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(worlds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newWorld(t, seed).run() })
		})
	}
}

func (w *world) run() {
	ctx, cancel := context.WithCancel(w.t.Context())
	var group sync.WaitGroup
	for n := range worldTargets {
		name := fmt.Sprint("engine-", n)
		w.targets[name] = &fakeTarget{
			announced: &wire.Target{Name: name, Address: name, Kind: engine, State: ready, Fencing: n%2 == 0},
			models:    []string{"m"},
		}
	}
	w.announce()
	for n := range w.members {
		group.Go(func() { w.issuer(n).Run(ctx) })
	}
	group.Go(func() {
		for ctx.Err() == nil {
			pause(ctx, time.Second)
			w.announce()
		}
	})
	start := time.Now()
	for n := range worldOrders {
		w.submit(n)
		pause(ctx, w.delay(3*time.Second))
		w.mu.Lock()
		isChange := w.chance(0.2)
		w.mu.Unlock()
		if isChange {
			w.elect(ctx)
		}
	}
	w.mu.Lock()
	w.calm = true
	w.mu.Unlock()
	// Each target may wait for the quiet time and the rate of loads.
	time.Sleep(3 * time.Minute)
	cancel()
	group.Wait()
	w.check(time.Since(start))
}

// submit commits an order, and sometimes commits it again.
func (w *world) submit(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	verb := Load
	if w.rng.IntN(2) == 0 {
		verb = Unload
	}
	target := fmt.Sprint("engine-", w.rng.IntN(worldTargets))
	command := &wire.Command{Change: &wire.Command_Order{Order: &wire.Order{Target: target, Verb: verb, Subject: "m", Request: fmt.Sprint(n)}}}
	for range 1 + w.rng.IntN(2) {
		if err := w.commit(w.members[w.leader], command); err != nil {
			w.t.Errorf("order %d: %v", n, err)
		}
	}
}

func (w *world) check(elapsed time.Duration) {
	w.t.Helper()
	m := w.members[w.leader]
	w.catchUp(m, len(w.log))
	reply, err := m.Read(w.t.Context(), &wire.ReadRequest{Stale: true, Orders: true})
	if err != nil {
		w.t.Fatal(err)
	}
	if got := len(reply.Orders); got != worldOrders {
		w.t.Errorf("orders: got %d, want %d", got, worldOrders)
	}
	last := map[string]uint64{}
	for _, o := range reply.Orders {
		t := w.targets[o.Order.Target]
		isObeyed := slices.Contains(t.obeyed, o.Fence)
		switch {
		case o.Outcome == Obeyed && isObeyed, o.Outcome == Refused && !isObeyed, o.Outcome == Superseded:
		default:
			w.t.Errorf("order %d to %s: got outcome %q, obeyed is %v", o.Fence, o.Order.Target, o.Outcome, isObeyed)
		}
		if o.Fence != last[o.Order.Target]+1 {
			w.t.Errorf("order to %s: got fence %d after %d", o.Order.Target, o.Fence, last[o.Order.Target])
		}
		last[o.Order.Target] = o.Fence
	}
	// A sending may be up to the timeout behind its turn.
	if got, most := len(w.loads), int((elapsed+DefaultTimeout)/DefaultLoadInterval)+1; got > most {
		w.t.Errorf("loads: got %d in %v, want %d at most", got, elapsed, most)
	}
	for i := 5; i < len(w.loads); i++ {
		if got, least := w.loads[i].Sub(w.loads[i-5]), 5*DefaultLoadInterval-DefaultTimeout; got < least {
			w.t.Errorf("six loads in %v, want %v at least", got, least)
		}
	}
}
