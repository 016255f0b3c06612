package dissolver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ticker"
	"github.com/papayapond/papayapond/internal/wire"
)

// interval is the time between attempts to close the venture.
const interval = time.Second

// phaseDissolving is the phase of a venture in which the Dissolver acts.
const phaseDissolving = "dissolving"

// Config configures a Dissolver.
type Config struct {
	// IsLeader reports whether this instance is the leader of the control
	// members.
	IsLeader func() bool
	// Read reads the state of the control members.
	Read func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
	// Propose proposes a command to the control members.
	Propose func(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error)
	// Holders maps each zone to its holder.
	Holders map[string]string
	// Release and Tally call the holder of a zone.
	Release func(ctx context.Context, holder string, request *wire.ReleaseRequest) (*wire.ReleaseReply, error)
	Tally   func(ctx context.Context, holder string, request *wire.TallyRequest) (*wire.TallyReply, error)
	Logger  *zap.Logger
}

// Dissolver runs on each control member and acts only on the leader.
type Dissolver struct {
	cfg Config
}

// New returns a dissolver.
func New(cfg Config) *Dissolver { return &Dissolver{cfg: cfg} }

// Run tries to close a dissolving venture until ctx ends.
func (d *Dissolver) Run(ctx context.Context) {
	ticker.Ticker{Interval: interval}.Run(ctx, func() {
		if d.cfg.IsLeader() {
			d.step(ctx)
		}
	})
}

func (d *Dissolver) step(ctx context.Context) {
	state, err := d.cfg.Read(ctx, &wire.ReadRequest{Pools: true})
	if err != nil || state.Phase != phaseDissolving {
		return
	}
	// After a failure a zone is skipped, so that its timeouts don't delay the
	// releases of the other zones.
	unreleased := map[string]bool{}
	for _, p := range state.Pools {
		for zone, assigned := range p.Zones {
			if assigned == 0 || unreleased[zone] {
				continue
			}
			if _, err := d.cfg.Release(ctx, d.cfg.Holders[zone], &wire.ReleaseRequest{Account: p.Account, Amount: assigned, Closing: true}); err != nil {
				d.cfg.Logger.Info("releasing the tokens of a zone failed", zap.String("zone", zone), zap.Error(err))
				unreleased[zone] = true
			}
		}
	}
	if len(unreleased) == 0 {
		d.close(ctx)
	}
}

// close proposes the final statement if all tokens of every zone are billed.
func (d *Dissolver) close(ctx context.Context) {
	billed := map[string]int64{}
	assigned := map[string]int64{}
	for zone, holder := range d.cfg.Holders {
		reply, err := d.cfg.Tally(ctx, holder, &wire.TallyRequest{})
		if err != nil {
			d.cfg.Logger.Info("reading the balances of a zone failed", zap.String("zone", zone), zap.Error(err))
			return
		}
		for _, t := range reply.Tallies {
			if t.Free != 0 || t.Allowances != 0 || t.Stranded != 0 {
				return
			}
			billed[t.Account] += t.Billed
			assigned[t.Account] += t.Granted - t.Released
		}
	}
	state, err := d.cfg.Read(ctx, &wire.ReadRequest{Pools: true})
	if err != nil {
		return
	}
	statement := &wire.Close{}
	for _, p := range state.Pools {
		total := p.Prepaid + p.Topups
		held := int64(0)
		for _, n := range p.Zones {
			held += n
		}
		if held != billed[p.Account] || held != assigned[p.Account] {
			d.cfg.Logger.Info("balances do not match yet", zap.String("account", p.Account), zap.Int64("assigned", held), zap.Int64("billed", billed[p.Account]))
			return
		}
		statement.Balances = append(statement.Balances, &wire.Balance{Account: p.Account, Prepaid: total, Billed: billed[p.Account], Refundable: total - billed[p.Account]})
	}
	if _, err := d.cfg.Propose(ctx, &wire.Command{Change: &wire.Command_Close{Close: statement}}); err != nil {
		d.cfg.Logger.Warn("closing the venture failed", zap.Error(err))
		return
	}
	d.cfg.Logger.Info("venture closed", zap.Int("accounts", len(statement.Balances)))
}
