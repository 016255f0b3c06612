package resubmitter

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ticker"
	"github.com/papayapond/papayapond/internal/wire"
)

// interval is the time between two looks at the epochs of the ledgers.
const interval = 2 * time.Second

// Config configures a Resubmitter.
type Config struct {
	// Holding returns this instance with its incarnation.
	Holding func() *wire.Holding
	// StartTime is the start of this process in Unix nanoseconds. The instance
	// has kept all its records since then, over changes of the incarnation.
	StartTime uint64
	// Holders are the names of the holders by zone.
	Holders map[string]string
	// Epochs returns the epochs of the ledgers by zone.
	Epochs func(ctx context.Context) (map[string]uint64, error)
	// RetainedBills returns the bills kept for a holder before an epoch and the number
	// of bills that were dropped; Forget drops those of an epoch.
	RetainedBills func(holder string, epoch uint64) ([]*wire.KeepRequest, uint64)
	DropRetained  func(holder string, epoch uint64)
	// Resubmit calls a holder.
	Resubmit func(ctx context.Context, holder string, request *wire.KeepRequest) error
	Logger   *zap.Logger
}

// Resubmitter hands over kept bills.
type Resubmitter struct {
	cfg    Config
	handed map[string]uint64 // epoch by zone to which everything was handed over
}

// New returns a resubmitter.
func New(cfg Config) *Resubmitter {
	return &Resubmitter{cfg: cfg, handed: map[string]uint64{}}
}

// Run looks for restored ledgers until ctx ends.
func (r *Resubmitter) Run(ctx context.Context) {
	ticker.Ticker{Interval: interval}.Run(ctx, func() { r.check(ctx) })
}

// check hands over to each ledger whose epoch has changed. The first epoch of
// a zone follows no other one.
func (r *Resubmitter) check(ctx context.Context) {
	epochs, err := r.cfg.Epochs(ctx)
	if err != nil {
		return
	}
	for zone, epoch := range epochs {
		holder := r.cfg.Holders[zone]
		if epoch <= 1 || epoch == r.handed[zone] || holder == "" {
			continue
		}
		if err := r.handOver(ctx, holder, zone, epoch); err != nil {
			r.cfg.Logger.Debug("Records are not handed over yet.", zap.String("holder", holder), zap.Error(err))
			continue
		}
		r.handed[zone] = epoch
		r.cfg.Logger.Info("Records handed over.", zap.String("holder", holder), zap.Uint64("epoch", epoch))
	}
}

// handOver sends the bills of earlier epochs and then the statement that
// there are no more. The statement is left out if bills were dropped.
func (r *Resubmitter) handOver(ctx context.Context, holder, zone string, epoch uint64) error {
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
