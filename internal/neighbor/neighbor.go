package neighbor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// retryDelay is the pause between two streams.
	retryDelay = 250 * time.Millisecond
	// absence is the time without a stream after which the targets of the zone
	// are removed. A planned restart of its holder takes less.
	absence = 3 * time.Second
)

// Config configures a Neighbor.
type Config struct {
	// Name is this instance.
	Name string
	// Holder and Zone are the holder to follow and its zone.
	Holder, Zone string
	// Follow follows one stream until it ends.
	Follow   func(ctx context.Context, holder string, request *wire.WatchRequest, handle func(*wire.Update) error) (bool, error)
	Registry *registry.Registry
	Blocker  *blocker.Blocker
	Logger   *zap.Logger
}

// Neighbor follows one holder.
type Neighbor struct {
	cfg Config
}

// New returns a neighbor.
func New(cfg Config) *Neighbor { return &Neighbor{cfg: cfg} }

// Run follows the holder until ctx ends. When the holder can't be reached, the
// targets of its zone are removed here, since their departure could not be
// told.
func (n *Neighbor) Run(ctx context.Context) {
	contact := time.Now()
	known := false
	for ctx.Err() == nil {
		received, _ := n.cfg.Follow(ctx, n.cfg.Holder, &wire.WatchRequest{Instance: n.cfg.Name, Local: true}, n.take)
		if received {
			contact, known = time.Now(), true
		}
		if known && time.Since(contact) > absence && ctx.Err() == nil {
			known = false
			n.cfg.Logger.Info("Zone is out of reach.", zap.String("zone", n.cfg.Zone))
			n.cfg.Registry.Replace(n.cfg.Zone, nil)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

func (n *Neighbor) take(u *wire.Update) error {
	if u.Snapshot {
		n.cfg.Registry.Replace(n.cfg.Zone, u.Targets)
	}
	for _, t := range u.Targets {
		n.cfg.Registry.List(t)
	}
	n.cfg.Blocker.Merge(u.Poisons)
	return nil
}
