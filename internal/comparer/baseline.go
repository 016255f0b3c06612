package comparer

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// remoteTrip is the time of a call to another zone and back.
const remoteTrip = 2 * crossZone

// Static runs the workload against an even split of each budget over the
// zones. A zone knows its whole part without messages.
func (c *Comparer) Static() Result {
	left := make([][]int64, len(c.cfg.Zones))
	for z := range left {
		for _, a := range c.cfg.Accounts {
			left[z] = append(left[z], a.Budget/int64(len(c.cfg.Zones)))
		}
	}
	m := newMeter(c.cfg)
	c.replay(m, func(e event) (time.Duration, bool) {
		if left[e.zone][e.account] < e.bound {
			return 0, false
		}
		left[e.zone][e.account] -= e.bound
		return 0, true
	}, func(e event) { left[e.zone][e.account] += e.bound - e.used })
	return m.finish()
}

// Central runs the workload against one counter in a zone that isn't cut. Each
// reservation is a call to it, and so is each settle.
func (c *Comparer) Central() Result {
	left := make([]int64, len(c.cfg.Accounts))
	for i, a := range c.cfg.Accounts {
		left[i] = a.Budget
	}
	m := newMeter(c.cfg)
	c.replay(m, func(e event) (time.Duration, bool) {
		m.size(proto.Size(&wire.DrawRequest{Holding: &wire.Holding{Instance: "a1", Incarnation: uint64(e.at)}, Account: c.cfg.Accounts[e.account].Name, Need: e.bound, Want: e.bound}) +
			proto.Size(&wire.DrawReply{Amount: e.bound, Epoch: 1, Held: left[e.account]}))
		if c.cfg.Cut.contains(e.at) && e.zone == c.cfg.Cut.Zone {
			return callLimit, false
		}
		if left[e.account] < e.bound {
			return remoteTrip, false
		}
		left[e.account] -= e.bound
		return remoteTrip, true
	}, func(e event) { left[e.account] += e.bound - e.used })
	return m.finish()
}

// replay runs the workload in the order of arrivals and ends.
func (c *Comparer) replay(m *meter, reserve func(event) (time.Duration, bool), settle func(event)) {
	var running []event // by end
	end := func(e event) time.Duration { return e.at + e.run }
	finish := func(until time.Duration) {
		for len(running) > 0 && end(running[0]) <= until {
			settle(running[0])
			m.settle(running[0], true)
			running = running[1:]
		}
	}
	for _, e := range c.events {
		finish(e.at)
		wait, ok := reserve(e)
		if !ok {
			m.refuse(e, wait)
			continue
		}
		m.admit(e, wait)
		i, _ := slices.BinarySearchFunc(running, e, func(a, b event) int { return cmp.Compare(end(a), end(b)) })
		running = slices.Insert(running, i, e)
	}
	finish(c.cfg.Length + mostRun)
}
