package kernel

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

// Kernel is the service registry of one daemon.
type Kernel struct {
	services  map[string]any
	logger    *zap.Logger
	lifecycle fx.Lifecycle
}

// Part returns the fx module of a component. It calls build once, after the
// components listed before it. build returns the service and its hooks; either
// hook may be nil.
func Part(name string, build func(*Kernel) (service any, hook fx.Hook, err error)) fx.Option {
	return fx.Module(name, fx.Invoke(func(k *Kernel) error {
		service, hook, err := build(k)
		if err != nil {
			return eris.Wrap(err, name)
		}
		if _, ok := k.services[name]; ok {
			return eris.Wrapf(fault.Internal, "service %s is registered twice", name)
		}
		k.services[name] = service
		k.lifecycle.Append(hook)
		return nil
	}))
}

// New builds a daemon from its components. stop bounds the shutdown time.
func New(logger *zap.Logger, stop time.Duration, parts ...fx.Option) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stop),
		fx.Provide(func(life fx.Lifecycle) *Kernel {
			return &Kernel{services: map[string]any{}, logger: logger, lifecycle: life}
		}),
		fx.Options(parts...),
	)
}

// Find returns the service registered under name. It fails if the service is
// missing or has another type; the error names the service.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, eris.Wrapf(fault.Internal, "service %s is not registered", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, eris.Wrapf(fault.Internal, "service %s has type %T, want %T", name, s, zero)
	}
	return t, nil
}

// Logger returns a logger named after the component.
func (k *Kernel) Logger(part string) *zap.Logger { return k.logger.Named(part) }

// Hook returns a hook that runs serve in a goroutine and cancels its context on
// stop.
func Hook(serve func(context.Context)) fx.Hook {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	return fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				serve(ctx)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return stop.Err()
			}
		},
	}
}
