package divider

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// demandMemory is how long a reported demand counts. Instances report a few
	// times a second.
	demandMemory = 2 * time.Second
	// limitMemory is how long a limit is kept without a report, liftedMemory the
	// same for one that was lifted.
	limitMemory  = time.Minute
	liftedMemory = 10 * time.Second
	// keepFactor is how much the demand of another instance must exceed that of
	// one with a share to take its place. Demands change with each request, and
	// an instance that loses its share loses what its bucket has saved.
	keepFactor = 4
	// divideInterval is the least time between two divisions of a limit. Dividing
	// for each call would take quadratic time in the number of instances.
	divideInterval = 100 * time.Millisecond
	// maxLimits bounds the memory and the size of a reply.
	maxLimits = 512
)

// Config configures a Divider.
type Config struct {
	// Now returns the current time. It defaults to time.Now.
	Now func() time.Time
}

// Divider holds the limits of all targets and the demand for them. It isn't safe
// for concurrent use.
type Divider struct {
	now    func() time.Time
	limits map[string]*limit // by target with its lifetime
}

// limit is the limit of one target.
type limit struct {
	rate     float64
	lifted   bool
	named    time.Time
	reported time.Time
	divided  time.Time
	demands  map[string]*demand // by instance
}

// demand is the demand of one instance and its share.
type demand struct {
	instance string
	rate     float64 // requests a second
	at       time.Time
	share    float64 // requests a second
}

// New returns a divider without limits.
func New(cfg Config) *Divider {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Divider{now: cfg.Now, limits: map[string]*limit{}}
}

// Report records what an instance reports. The newest statement of a target wins.
func (d *Divider) Report(instance string, list []*wire.TargetLimit) {
	now := d.now()
	for _, q := range list {
		at := now.Add(-time.Duration(max(q.Age, 0)) * time.Millisecond)
		l := d.limits[q.Target]
		if l == nil {
			if len(d.limits) >= maxLimits {
				continue
			}
			l = &limit{demands: map[string]*demand{}}
			d.limits[q.Target] = l
		}
		if !at.Before(l.named) {
			if q.Rate != l.rate {
				l.divided = time.Time{}
			}
			l.named, l.rate, l.lifted = at, q.Rate, q.Lifted
		}
		l.reported = now
		own := l.demands[instance]
		if own == nil {
			own = &demand{instance: instance}
			l.demands[instance] = own
		}
		own.rate, own.at = q.Demand, now
	}
}

// Remove forgets the demand of an instance that has stopped.
func (d *Divider) Remove(instance string) {
	for _, l := range d.limits {
		delete(l.demands, instance)
	}
}

// Shares returns all limits with the share of an instance.
func (d *Divider) Shares(instance string) []*wire.TargetLimit {
	now := d.now()
	var list []*wire.TargetLimit
	for _, target := range slices.Sorted(maps.Keys(d.limits)) {
		l := d.limits[target]
		if memory := now.Sub(l.reported); memory > limitMemory || l.lifted && memory > liftedMemory {
			delete(d.limits, target)
			continue
		}
		l.divide(now)
		q := &wire.TargetLimit{Target: target, Rate: l.rate, Lifted: l.lifted, Age: now.Sub(l.named).Milliseconds()}
		if own := l.demands[instance]; own != nil {
			q.Share = own.share
		}
		list = append(list, q)
	}
	return list
}

// divide gives shares to the instances with the highest demand, in proportion to
// it: as many instances as the limit has whole requests a second. A smaller share
// would save up a whole request at each of many instances.
func (l *limit) divide(now time.Time) {
	if now.Sub(l.divided) < divideInterval {
		return
	}
	l.divided = now
	maps.DeleteFunc(l.demands, func(_ string, o *demand) bool { return now.Sub(o.at) > demandMemory })
	list := slices.SortedFunc(maps.Values(l.demands), func(a, b *demand) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(a.instance, b.instance))
	})
	n := min(max(int(l.rate), 1), len(list))
	sum := 0.0
	for _, o := range list[:n] {
		sum += o.rate
	}
	for i, o := range list {
		o.share = 0
		if i < n && sum > 0 {
			o.share = l.rate * o.rate / sum
		}
	}
}

// weight returns the demand, raised if the instance has a share.
func (o *demand) weight() float64 {
	if o.share > 0 {
		return keepFactor * o.rate
	}
	return o.rate
}
