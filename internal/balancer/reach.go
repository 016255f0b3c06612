package balancer

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// zoneTimeoutLimit is the number of targets of a zone whose connection
	// attempts must time out, with no response from the zone in between, before
	// the zone is considered unreachable. Without it, a request would have to
	// time out on each target of the zone.
	zoneTimeoutLimit = 3
	// zoneUnreachableTime is how long a zone is considered unreachable before
	// requests try it again.
	zoneUnreachableTime = 2 * time.Second
	// zoneTimeoutWindow is the age after which a timeout no longer counts.
	zoneTimeoutWindow = 2 * time.Second
)

// zoneHealth tracks connection timeouts in another zone.
type zoneHealth struct {
	timeouts map[string]time.Time // time of the last timeout, by target
	until    time.Time
}

// observeZone updates the health of a target's zone. The caller holds mu.
func (b *Balancer) observeZone(l *wire.Listing, o Outcome) {
	if l.Zone == b.cfg.Zone {
		return
	}
	switch o {
	case ConnectTimeout:
	case Served, Refused, Failed, Misdirected:
		delete(b.zones, l.Zone)
		return
	default:
		return
	}
	z := b.zones[l.Zone]
	if z == nil {
		z = &zoneHealth{timeouts: map[string]time.Time{}}
		b.zones[l.Zone] = z
	}
	now := b.cfg.Now()
	z.timeouts[l.Id] = now
	for id, at := range z.timeouts {
		if now.Sub(at) > zoneTimeoutWindow {
			delete(z.timeouts, id)
		}
	}
	if len(z.timeouts) >= zoneTimeoutLimit {
		z.until = now.Add(zoneUnreachableTime)
		clear(z.timeouts)
		b.cfg.Logger.Info("zone unreachable", zap.String("zone", l.Zone), zap.Int("targets", zoneTimeoutLimit), zap.Duration("pause", zoneUnreachableTime))
	}
}

// isUnreachable reports whether a zone is considered unreachable. The caller
// holds mu.
func (b *Balancer) isUnreachable(zone string, now time.Time) bool {
	z := b.zones[zone]
	return z != nil && now.Before(z.until)
}
