package balancer

import (
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// cutTargets is the number of targets of a zone that let connection attempts
	// time out, with none that answers between, after which the zone counts as
	// cut off. Otherwise each of its targets would be found out by requests that
	// wait.
	cutTargets = 3
	// cutTime is the time for which a zone counts as cut off. Then requests try
	// it again.
	cutTime = 2 * time.Second
	// cutMemory is the age from which on a time-out doesn't count any more.
	cutMemory = 2 * time.Second
)

// reach is what connection attempts tell about another zone.
type reach struct {
	silent map[string]time.Time // targets that let an attempt time out
	until  time.Time
}

// observe notes how a request to a target ended. The caller holds mu.
func (b *Balancer) observe(l *wire.Listing, o Outcome) {
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
		z = &reach{silent: map[string]time.Time{}}
		b.zones[l.Zone] = z
	}
	now := b.cfg.Now()
	z.silent[l.Id] = now
	for id, at := range z.silent {
		if now.Sub(at) > cutMemory {
			delete(z.silent, id)
		}
	}
	if len(z.silent) >= cutTargets {
		z.until = now.Add(cutTime)
		clear(z.silent)
		b.cfg.Logger.Info("Zone can't be reached.", zap.String("zone", l.Zone), zap.Int("targets", cutTargets), zap.Duration("pause", cutTime))
	}
}

// isCut reports whether a zone counts as cut off. The caller holds mu.
func (b *Balancer) isCut(zone string, now time.Time) bool {
	z := b.zones[zone]
	return z != nil && now.Before(z.until)
}
