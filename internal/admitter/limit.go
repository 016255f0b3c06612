package admitter

import (
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// defaultSlots is the number of slots of an engine that announces none.
	// serviceSlots limits the calls in flight per target of a plain service.
	defaultSlots = 16
	serviceSlots = 64
	// borrowFactor is the number of requests by which an instance may exceed
	// its share, per free slot in that share. The load balancer in front of the
	// instances distributes the traffic unevenly.
	borrowFactor = 2
	// reserveRatio is the fraction of slots that is never borrowed. When all
	// slots are in use, delayed reports from unevenly loaded targets still show
	// about that many as free.
	reserveRatio = 0.2
	// maxLimitRatio caps the limit, relative to the share. Reports are delayed,
	// so that all slots look free at the start of a burst.
	maxLimitRatio = 1.5
	// rampRate is the fraction of the share by which the requests in flight may
	// grow beyond it per second. Reports are up to 1.7 s old, so instances that
	// exceeded their shares immediately would fill the engines' queues before
	// any report shows it.
	rampRate = 0.1
	// maxStep limits the time credited to one step of the ramp.
	maxStep = 100 * time.Millisecond
	// limitTTL is how long a computed limit is cached.
	limitTTL = 50 * time.Millisecond
)

// limit is the limit on requests in flight, computed from announcements.
type limit struct {
	value int // including slots that may be borrowed
	share int // of this instance
	until time.Time
}

// currentLimit returns the limit of a model or service, or of all models if
// both are empty: the share of this instance in the slots of its zone plus its
// share in the free slots of other zones. The platform's load balancer
// distributes traffic to zones without regard to their targets. The limit is 0
// if no target is ready.
func (a *Admitter) currentLimit(l *limit, model, service string) int {
	now := a.cfg.Now()
	if now.Before(l.until) {
		return l.value
	}
	*l = limit{until: now.Add(limitTTL)}
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
		l.share, l.value = shareOf(remote.slots, all), remote.limitOf(all)
		return l.value
	}
	zone := max(a.cfg.Instances(a.cfg.Zone), 1)
	l.share = shareOf(local.slots, zone) + remote.free/all
	l.value = local.limitOf(zone) + remote.free/all
	return l.value
}

// capacity is the total capacity of a set of targets.
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

// limitOf returns the limit of one of n instances.
func (c *capacity) limitOf(n int) int {
	spare := max(0, float64(c.free)-reserveRatio*float64(c.slots))
	return shareOf(int(min(float64(c.slots)+borrowFactor*spare, maxLimitRatio*float64(c.slots))), n)
}

// shareOf returns the share of one of n instances, rounded up.
func shareOf(slots, n int) int { return (slots + n - 1) / n }
