package issuer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

// Outcomes of an order.
const (
	// Obeyed is an order that the target confirmed.
	Obeyed = "obeyed"
	// Refused is an order that the target or the check of the last ready copy
	// refused.
	Refused = "refused"
	// Superseded is an order whose target has seen a newer one.
	Superseded = "superseded"
	// Expired is an order that was not confirmed in time.
	Expired = "expired"
)

// Verbs of an order.
const (
	Load   = "load"
	Unload = "unload"
	Role   = "role"
)

const (
	// DefaultTimeout bounds one sending: the commit of the attempt, the
	// connection, the request and the answer.
	DefaultTimeout = 3 * time.Second
	// DefaultQuietPeriod is longer than DefaultTimeout, so that the connections of
	// a deposed leader are closed before the new one sends.
	DefaultQuietPeriod = 5 * time.Second
	// DefaultExpiry bounds the time from the order to its outcome.
	DefaultExpiry = 10 * time.Minute
	// DefaultSettleTime is a multiple of the interval of announcements, after
	// which the effect of an order shows in the registry.
	DefaultSettleTime = 10 * time.Second
	// DefaultLoadInterval is the least time between two load orders.
	DefaultLoadInterval = 2 * time.Second

	pollInterval = 100 * time.Millisecond
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 5 * time.Second
)

// Config configures an Issuer.
type Config struct {
	// Term returns the term in which this member leads, or 0.
	Term func() uint64
	// Orders returns the orders of the log, oldest first, as this member has
	// applied them.
	Orders func(ctx context.Context) ([]*wire.OrderState, error)
	// Barrier returns when Orders is at least as new as its call. It fails
	// unless this member leads.
	Barrier func(ctx context.Context) error
	// Propose commits a command as the leader. It fails unless this member
	// leads.
	Propose func(ctx context.Context, command *wire.Command) error
	// Targets returns the targets that announce themselves and are ready or
	// leaving.
	Targets func() []*wire.Target
	// Send posts an order to an address and returns status and body of the
	// answer. Its connection is closed when it returns, at the end of ctx at
	// the latest.
	Send func(ctx context.Context, address string, body []byte) (status int, answer []byte, err error)
	// LoadInterval is the least time between the sendings of two load orders,
	// which the rate limit of the weight store sets.
	LoadInterval time.Duration
	// Timeout, QuietPeriod, Expiry and SettleTime have the defaults above.
	Timeout, QuietPeriod, Expiry, SettleTime time.Duration
	Logger                                   *zap.Logger
}

// Issuer runs on each control member and acts on the leader.
type Issuer struct {
	cfg Config
}

// New returns an issuer.
func New(cfg Config) *Issuer {
	for _, d := range []struct {
		value   *time.Duration
		initial time.Duration
	}{
		{&cfg.LoadInterval, DefaultLoadInterval}, {&cfg.Timeout, DefaultTimeout}, {&cfg.QuietPeriod, DefaultQuietPeriod},
		{&cfg.Expiry, DefaultExpiry}, {&cfg.SettleTime, DefaultSettleTime},
	} {
		if *d.value == 0 {
			*d.value = d.initial
		}
	}
	if cfg.QuietPeriod <= cfg.Timeout {
		panic("issuer: quiet time must be longer than the timeout")
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Issuer{cfg: cfg}
}

// Run issues orders while this member leads, until ctx ends.
func (i *Issuer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if term := i.cfg.Term(); term != 0 {
			i.reign(ctx, term)
		}
		pause(ctx, pollInterval)
	}
}

// reign issues orders until this member no longer leads in the term. All
// connections are closed when it returns.
func (i *Issuer) reign(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if err := i.barrier(ctx); err != nil {
		return
	}
	// The time counts from the barrier: no earlier leader commits an attempt
	// after it.
	r := newReign(i.cfg, time.Now())
	for ctx.Err() == nil && i.cfg.Term() == term {
		orders, err := i.cfg.Orders(ctx)
		if err != nil {
			return
		}
		for _, o := range r.heads(orders) {
			group.Go(func() {
				defer r.leave(o.Order.Target)
				r.issue(ctx, o)
			})
		}
		pause(ctx, pollInterval)
	}
}

func (i *Issuer) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, i.cfg.Timeout)
	defer cancel()
	return i.cfg.Barrier(ctx)
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
