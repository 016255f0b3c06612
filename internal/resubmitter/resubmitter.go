package resubmitter

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ticker"
	"github.com/papayapond/papayapond/internal/wire"
)

// pollInterval is the time between checks of the ledgers' epochs.
const pollInterval = 2 * time.Second

// Config configures a Resubmitter.
type Config struct {
	// Holding returns the name and current incarnation of this instance.
	Holding func() *wire.Holding
	// StartTime is the start of this process in Unix nanoseconds. The instance
	// has retained all bills since then, across changes of its incarnation.
	StartTime uint64
	// Holders maps each zone to its holder.
	Holders map[string]string
	// Epochs returns the current epoch of each zone's ledger.
	Epochs func(ctx context.Context) (map[string]uint64, error)
	// RetainedBills returns the bills retained for a holder before an epoch and
	// the number of dropped bills. DropRetained drops the bills of an epoch.
	RetainedBills func(holder string, epoch uint64) ([]*wire.KeepRequest, uint64)
	DropRetained  func(holder string, epoch uint64)
	// Resubmit calls the Keep method of a holder.
	Resubmit func(ctx context.Context, holder string, request *wire.KeepRequest) error
	Logger   *zap.Logger
}

// Resubmitter sends retained bills to restored ledgers.
type Resubmitter struct {
	cfg         Config
	resubmitted map[string]uint64 // epoch by zone for which all bills have been sent
}

// New returns a resubmitter.
func New(cfg Config) *Resubmitter {
	return &Resubmitter{cfg: cfg, resubmitted: map[string]uint64{}}
}

// Run checks for restored ledgers until ctx ends.
func (r *Resubmitter) Run(ctx context.Context) {
	ticker.Ticker{Interval: pollInterval}.Run(ctx, func() { r.check(ctx) })
}

// check resubmits the bills to each ledger whose epoch has changed. The first
// epoch of a zone has no predecessor.
func (r *Resubmitter) check(ctx context.Context) {
	epochs, err := r.cfg.Epochs(ctx)
	if err != nil {
		return
	}
	for zone, epoch := range epochs {
		holder := r.cfg.Holders[zone]
		if epoch <= 1 || epoch == r.resubmitted[zone] || holder == "" {
			continue
		}
		if err := r.resubmit(ctx, holder, zone, epoch); err != nil {
			r.cfg.Logger.Debug("resubmitting bills failed", zap.String("holder", holder), zap.Error(err))
			continue
		}
		r.resubmitted[zone] = epoch
		r.cfg.Logger.Info("bills resubmitted", zap.String("holder", holder), zap.Uint64("epoch", epoch))
	}
}

// resubmit sends the bills of earlier epochs, followed by a statement that
// there are no more. It omits the statement if bills were dropped.
func (r *Resubmitter) resubmit(ctx context.Context, holder, zone string, epoch uint64) error {
	requests, dropped := r.cfg.RetainedBills(holder, epoch)
	for _, q := range requests {
		q.Zone = zone
		if err := r.cfg.Resubmit(ctx, holder, q); err != nil {
			return err
		}
		r.cfg.DropRetained(holder, q.Epoch)
	}
	last := &wire.KeepRequest{Holding: r.cfg.Holding(), Zone: zone, Epoch: epoch - 1}
	if dropped == 0 {
		last.Since = r.cfg.StartTime
	}
	return r.cfg.Resubmit(ctx, holder, last)
}
