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
	// retryDelay is the delay before the stream is reopened.
	retryDelay = 250 * time.Millisecond
	// unreachableAfter is the time without an update after which the targets
	// of the zone are removed. A planned restart of the holder takes less,
	// and a silent stream is closed after the same time.
	unreachableAfter = 3 * time.Second
)

// Config configures a Neighbor.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Holder is the holder to follow, and Zone is its zone.
	Holder, Zone string
	// Follow processes one stream until it ends.
	Follow   func(ctx context.Context, holder string, request *wire.WatchRequest, handle func(*wire.Update) error) (bool, error)
	Registry *registry.Registry
	Blocker  *blocker.Blocker
	Logger   *zap.Logger
}

// Neighbor follows the holder of one other zone.
type Neighbor struct {
	cfg Config
	// lastUpdate is the time of the last update, or zero if the targets of
	// the zone are not in the registry.
	lastUpdate time.Time
}

// New returns a Neighbor.
func New(cfg Config) *Neighbor { return &Neighbor{cfg: cfg} }

// Run follows the holder until ctx ends. If the holder becomes unreachable,
// Run removes the targets of its zone, because their removal could not be
// reported.
func (n *Neighbor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = n.cfg.Follow(ctx, n.cfg.Holder, &wire.WatchRequest{Instance: n.cfg.Name, Local: true}, n.handleUpdate) // handleUpdate never fails
		if !n.lastUpdate.IsZero() && time.Since(n.lastUpdate) >= unreachableAfter && ctx.Err() == nil {
			n.lastUpdate = time.Time{}
			n.cfg.Logger.Info("zone unreachable", zap.String("zone", n.cfg.Zone))
			n.cfg.Registry.ReplaceRelayed(n.cfg.Zone, nil)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

func (n *Neighbor) handleUpdate(u *wire.Update) error {
	n.lastUpdate = time.Now()
	if u.Snapshot {
		n.cfg.Registry.ReplaceRelayed(n.cfg.Zone, u.Targets)
	}
	for _, t := range u.Targets {
		n.cfg.Registry.ApplyRelayed(t)
	}
	n.cfg.Blocker.Merge(u.Poisons)
	return nil
}
