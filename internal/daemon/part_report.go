package daemon

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"

	"go.uber.org/fx"

	"github.com/papayapond/papayapond/internal/admitter"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/controller"
	"github.com/papayapond/papayapond/internal/ejector"
	"github.com/papayapond/papayapond/internal/holder"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/replicator"
	"github.com/papayapond/papayapond/internal/reporter"
	"github.com/papayapond/papayapond/internal/retrier"
	"github.com/papayapond/papayapond/internal/subscriber"
	"github.com/papayapond/papayapond/internal/wire"
)

func (b *builder) reporter() fx.Option {
	return kernel.Part(nameReporter, func(k *kernel.Kernel) (any, fx.Hook, error) {
		s, err := kernel.Find[*subscriber.Subscriber](k, nameSubscriber)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		admit, err := kernel.Find[*admitter.Admitter](k, nameAdmitter)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		health, err := kernel.Find[*ejector.Ejector](k, nameEjector)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		budget, err := kernel.Find[*retrier.Retrier](k, nameRetrier)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		targets, err := kernel.Find[*registry.Registry](k, nameRegistry)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		cfg := reporter.Config{
			Flight: b.flight, Version: s.Version, Stale: s.IsStale, Targets: targets.Count, Pinned: pinned(s.Current),
			Waiting: admit.Waiting, Admitted: admit.Flight, Ejected: health.Ejected, RefusedRetries: budget.Refused,
		}
		if b.settings.Disk {
			if err := b.reportBooks(k, &cfg); err != nil {
				return nil, fx.Hook{}, err
			}
		}
		r := reporter.New(cfg)
		if b.settings.Metrics == "" {
			return r, fx.Hook{}, nil
		}
		handler := http.NewServeMux()
		handler.Handle("/metrics", r.Handler())
		return r, b.httpServer(nameReporter, b.settings.Metrics, handler), nil
	})
}

// reportBooks connects the reporter to the parts of a holder.
func (b *builder) reportBooks(k *kernel.Kernel, cfg *reporter.Config) error {
	h, err := kernel.Find[*holder.Holder](k, nameHolder)
	if err != nil {
		return err
	}
	log, err := kernel.Find[*replicator.Replicator](k, nameReplicator)
	if err != nil {
		return err
	}
	control, err := kernel.Find[*controller.Controller](k, nameController)
	if err != nil {
		return err
	}
	cfg.Log = func() (bool, uint64, uint64) {
		term, index, _ := log.Status()
		return log.Leader() == b.settings.Name, term, index
	}
	cfg.Violations = func() uint64 {
		if l := h.Ledger(); l != nil {
			return l.Violations()
		}
		return 0
	}
	cfg.Tally = func(account string) *wire.Tally {
		if l := h.Ledger(); l != nil {
			for _, t := range l.Tally(account) {
				return t
			}
		}
		return nil
	}
	cfg.Pool = func(account string) *wire.Pool {
		reply, err := control.Read(context.Background(), &wire.ReadRequest{Stale: true, Pools: true, Account: account})
		if err != nil || len(reply.Pools) == 0 {
			return nil
		}
		return reply.Pools[0]
	}
	return nil
}

// pinned returns a function for the accounts that always have a label: those
// that the objectives of the present configuration name, and all if they are
// few enough. It reads each configuration once.
func pinned(current func() *configuration.Configuration) func() []string {
	type entry struct {
		configuration *configuration.Configuration
		names         []string
	}
	var last atomic.Pointer[entry]
	return func() []string {
		c := current()
		if c == nil {
			return nil
		}
		if e := last.Load(); e != nil && e.configuration == c {
			return e.names
		}
		e := &entry{configuration: c}
		v := c.Venture()
		for _, o := range v.Objectives {
			if o.Account != "" && !slices.Contains(e.names, o.Account) {
				e.names = append(e.names, o.Account)
			}
		}
		for i := 0; i < len(v.Accounts) && len(v.Accounts) <= reporter.MaxAccounts; i++ {
			if !slices.Contains(e.names, v.Accounts[i].Name) {
				e.names = append(e.names, v.Accounts[i].Name)
			}
		}
		last.Store(e)
		return e.names
	}
}
