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
	// Obeyed means that the target confirmed the order.
	Obeyed = "obeyed"
	// Refused means that the target, or the check for the last ready copy of a
	// model, refused the order.
	Refused = "refused"
	// Superseded means that the target has seen a newer order.
	Superseded = "superseded"
	// Expired means that the order was not confirmed in time.
	Expired = "expired"
)

// Verbs of an order.
const (
	Load   = "load"
	Unload = "unload"
	Role   = "role"
)

const (
	// DefaultTimeout bounds one attempt: commit, connection, request and
	// response.
	DefaultTimeout = 3 * time.Second
	// DefaultQuietPeriod is longer than DefaultTimeout so that the connections of
	// a deposed leader are closed before the new leader sends.
	DefaultQuietPeriod = 5 * time.Second
	// DefaultExpiry bounds the time from the creation of an order to its outcome.
	DefaultExpiry = 10 * time.Minute
	// DefaultSettleTime is the time after which the registry reflects the effect
	// of an order, a multiple of the announcement interval.
	DefaultSettleTime = 10 * time.Second
	// DefaultLoadInterval is the minimum time between two load orders.
	DefaultLoadInterval = 2 * time.Second

	pollInterval = 100 * time.Millisecond
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// Config configures an Issuer.
type Config struct {
	// Term returns the term in which this member leads, or 0.
	Term func() uint64
	// Orders returns the orders that this member has applied from the log, oldest
	// first.
	Orders func(ctx context.Context) ([]*wire.OrderState, error)
	// Barrier blocks until this member has applied everything committed before
	// the call. It fails unless this member leads.
	Barrier func(ctx context.Context) error
	// Propose commits a command as the leader. It fails unless this member
	// leads.
	Propose func(ctx context.Context, command *wire.Command) error
	// Targets returns the announced targets that are ready or leaving.
	Targets func() []*wire.Target
	// Send posts an order to an address and returns the status and body of the
	// response. It closes the connection before it returns, at the latest when
	// ctx ends.
	Send func(ctx context.Context, address string, body []byte) (status int, answer []byte, err error)
	// LoadInterval is the minimum time between two load orders. It follows from
	// the rate limit of the weight store.
	LoadInterval time.Duration
	// Timeout, QuietPeriod, Expiry and SettleTime default to the constants above.
	Timeout, QuietPeriod, Expiry, SettleTime time.Duration
	Logger                                   *zap.Logger
}

// Issuer sends orders. It runs on each control member but acts only on the leader.
type Issuer struct {
	cfg Config
}

// New returns an Issuer. It panics unless QuietPeriod exceeds Timeout.
func New(cfg Config) *Issuer {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&cfg.LoadInterval, DefaultLoadInterval}, {&cfg.Timeout, DefaultTimeout}, {&cfg.QuietPeriod, DefaultQuietPeriod},
		{&cfg.Expiry, DefaultExpiry}, {&cfg.SettleTime, DefaultSettleTime},
	} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
	if cfg.QuietPeriod <= cfg.Timeout {
		panic("issuer: QuietPeriod must be longer than Timeout")
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Issuer{cfg: cfg}
}

// Run issues orders whenever this member leads, until ctx ends.
func (i *Issuer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if term := i.cfg.Term(); term != 0 {
			i.lead(ctx, term)
		}
		pause(ctx, pollInterval)
	}
}

// lead issues orders until this member loses leadership of the term. All
// connections are closed when it returns.
func (i *Issuer) lead(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	if err := i.barrier(ctx); err != nil {
		return
	}
	// The quiet period starts after the barrier because no earlier leader can
	// commit an attempt from then on.
	s := newLeaderState(i.cfg, time.Now())
	for ctx.Err() == nil && i.cfg.Term() == term {
		orders, err := i.cfg.Orders(ctx)
		if err != nil {
			return
		}
		for _, o := range s.claimNext(orders) {
			group.Go(func() {
				defer s.release(o.Order.Target)
				s.issue(ctx, o)
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

// pause sleeps for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
