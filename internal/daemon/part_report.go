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
		var err error
		s := find[*subscriber.Subscriber](k, nameSubscriber, &err)
		admit := find[*admitter.Admitter](k, nameAdmitter, &err)
		health := find[*ejector.Ejector](k, nameEjector, &err)
		retryBudget := find[*retrier.Retrier](k, nameRetrier, &err)
		targets := find[*registry.Registry](k, nameRegistry, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		cfg := reporter.Config{
			InFlight: b.countInFlight, Version: s.Version, Stale: s.IsStale, Targets: targets.Count, Pinned: pinnedAccounts(s.Current),
			Waiting: admit.Waiting, Admitted: admit.InFlight, Ejected: health.Ejected, RefusedRetries: retryBudget.Denied,
		}
		if b.settings.Disk {
			if err := b.configureHolderMetrics(k, &cfg); err != nil {
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

// configureHolderMetrics adds the metric sources that only a holder has.
func (b *builder) configureHolderMetrics(k *kernel.Kernel, cfg *reporter.Config) error {
	var err error
	h := find[*holder.Holder](k, nameHolder, &err)
	raftLog := find[*replicator.Replicator](k, nameReplicator, &err)
	control := find[*controller.Controller](k, nameController, &err)
	if err != nil {
		return err
	}
	cfg.Log = func() (bool, uint64, uint64) {
		term, index, _ := raftLog.Status()
		return raftLog.Leader() == b.settings.Name, term, index
	}
	cfg.Violations = func() uint64 {
		if l := h.Ledger(); l != nil {
			return l.Violations()
		}
		return 0
	}
	cfg.Stopped = func() []string {
		if l := h.Ledger(); l != nil {
			return l.StoppedAccounts()
		}
		return nil
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

// pinnedAccounts returns a function that lists the accounts that always get
// their own metric label: those named by an objective of the current
// configuration, and all accounts if there are at most reporter.MaxAccounts. The
// function caches the list for each configuration.
func pinnedAccounts(current func() *configuration.Configuration) func() []string {
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
