package admitter

import (
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// defaultSlots is assumed for an engine that announces none, and
	// serviceSlots bounds the calls in flight of a plain service per target.
	defaultSlots = 16
	serviceSlots = 64
	// borrowed is the number of requests per instance and free slot that may
	// go beyond the instance's share. The balancer in front of the instances
	// gives them unequal parts of the traffic.
	borrowed = 2
	// unborrowed is the part of the slots that is never borrowed from: that many
	// look free in late reports of uneven targets when all of them are full.
	unborrowed = 0.2
	// mostBorrowed bounds the limit, relative to the share. Reports come late,
	// so that at the start of a burst all slots look free.
	mostBorrowed = 1.5
	// ramp is the part of the share by which the requests in flight may grow
	// beyond it in a second. Reports are up to 1.7 s old, so that instances that
	// went beyond their shares at once would fill the engines' queues before
	// any report shows it.
	ramp = 0.1
	// maxStep bounds the time that counts for one step of the ramp.
	maxStep = 100 * time.Millisecond
	// limitAge bounds the age of a computed limit.
	limitAge = 50 * time.Millisecond
)

// limit is the bound on the requests in flight, computed from announcements.
type limit struct {
	value int // with what may be borrowed
	share int // of this instance
	until time.Time
}

// bound returns the limit of a model or service, or of all models if both are
// empty: the share of this instance in the slots of its zone and in the free
// slots of the others. The platform's balancer gives zones a part of the
// traffic that need not match their targets. It is 0 if no target is ready.
func (a *Admitter) bound(l *limit, model, service string) int {
	now := a.cfg.Now()
	if now.Before(l.until) {
		return l.value
	}
	*l = limit{until: now.Add(limitAge)}
	var local, remote capacity
	for _, t := range a.cfg.Ready("", model, service) {
		switch {
		case service == "" && len(t.Models) == 0:
		case t.Zone == a.cfg.Zone:
			local.add(t, service)
		default:
			remote.add(t, service)
		}
	}
	all := max(a.cfg.Instances(""), 1)
	if local.slots == 0 {
		l.share, l.value = part(remote.slots, all), remote.most(all)
		return l.value
	}
	zone := max(a.cfg.Instances(a.cfg.Zone), 1)
	l.share = part(local.slots, zone) + remote.free/all
	l.value = local.most(zone) + remote.free/all
	return l.value
}

// capacity is the sum over some targets.
type capacity struct{ slots, free int }

func (c *capacity) add(t *wire.Target, service string) {
	slots := int(t.Slots)
	switch {
	case slots > 0:
	case service != "":
		slots = serviceSlots
	default:
		slots = defaultSlots
	}
	c.slots += slots
	c.free += max(0, slots-int(t.Running+t.Waiting))
}

// most returns the limit of one of n instances.
func (c *capacity) most(n int) int {
	spare := max(0, float64(c.free)-unborrowed*float64(c.slots))
	return part(int(min(float64(c.slots)+borrowed*spare, mostBorrowed*float64(c.slots))), n)
}

// part returns the share of one of n instances, rounded up.
func part(slots, n int) int { return (slots + n - 1) / n }
