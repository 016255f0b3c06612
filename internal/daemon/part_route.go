package daemon

import (
	"context"

	"go.uber.org/fx"

	"github.com/papayapond/papayapond/internal/admitter"
	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/ejector"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/retrier"
	"github.com/papayapond/papayapond/internal/router"
	"github.com/papayapond/papayapond/internal/subscriber"
	"github.com/papayapond/papayapond/internal/wire"
)

func (b *builder) ejector() fx.Option {
	return kernel.Part(nameEjector, func(*kernel.Kernel) (any, fx.Hook, error) {
		return ejector.New(ejector.Config{}), fx.Hook{}, nil
	})
}

func (b *builder) retrier() fx.Option {
	return kernel.Part(nameRetrier, func(*kernel.Kernel) (any, fx.Hook, error) {
		return retrier.New(retrier.Config{}), fx.Hook{}, nil
	})
}

func (b *builder) router() fx.Option {
	return kernel.Part(nameRouter, func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		targets := find[*registry.Registry](k, nameRegistry, &err)
		e := find[*ejector.Ejector](k, nameEjector, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		ready := func(zone, model, service string) []*wire.Target {
			return e.Filter(targets.Ready(zone, model, service))
		}
		r, err := router.New(router.Config{Zone: b.settings.Zone, Policy: b.settings.Policy, Ready: ready})
		return r, fx.Hook{}, err
	})
}

func (b *builder) dispatcher() fx.Option {
	return kernel.Part(nameDispatcher, func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		r := find[*router.Router](k, nameRouter, &err)
		blocked := find[*blocker.Blocker](k, nameBlocker, &err)
		s := find[*subscriber.Subscriber](k, nameSubscriber, &err)
		health := find[*ejector.Ejector](k, nameEjector, &err)
		retryBudget := find[*retrier.Retrier](k, nameRetrier, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		d := dispatcher.New(dispatcher.Config{
			CountJob: retryBudget.RecordRequest, AllowRetry: retryBudget.AllowRetry,
			RecordSuccess: health.RecordSuccess, RecordFailure: health.RecordFailure,
			Pick: r.Pick, Trial: r.PickSuspect,
			Blocked: blocked.IsBlocked, Restrict: blocked.AllowedTargets, BeginAttempt: blocked.BeginAttempt,
			RecordCrash: func(digest []byte, target string) {
				blocked.RecordCrash(digest, target)
				// Tell the holder before the caller can retry on another instance.
				_ = s.Announce(context.Background(), nil)
			},
			Clear:  blocked.Clear,
			Logger: k.Logger(nameDispatcher),
		})
		return d, fx.Hook{OnStop: func(context.Context) error { d.Close(); return nil }}, nil
	})
}

func (b *builder) admitter() fx.Option {
	return kernel.Part(nameAdmitter, func(k *kernel.Kernel) (any, fx.Hook, error) {
		targets, err := kernel.Find[*registry.Registry](k, nameRegistry)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		a := admitter.New(admitter.Config{Zone: b.settings.Zone, Ready: targets.Ready, Instances: b.countInstances})
		return a, fx.Hook{}, nil
	})
}

// countInstances returns the number of instances in a zone, or in all zones if
// zone is empty.
func (b *builder) countInstances(zone string) int {
	n := 0
	for _, p := range b.settings.Peers {
		if zone == "" || p.Zone == zone {
			n++
		}
	}
	return n
}
