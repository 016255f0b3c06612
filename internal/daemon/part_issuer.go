package daemon

import (
	"context"

	"go.uber.org/fx"

	"github.com/papayapond/papayapond/internal/controller"
	"github.com/papayapond/papayapond/internal/issuer"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/wire"
)

// issuer sends orders to targets while this instance is the leader of the
// replicated log.
func (b *builder) issuer() fx.Option {
	return kernel.Part("issuer", func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		c := find[*controller.Controller](k, nameController, &err)
		targets := find[*registry.Registry](k, nameRegistry, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		i := issuer.New(issuer.Config{
			Term: b.leaderTerm,
			Orders: func(ctx context.Context) ([]*wire.OrderState, error) {
				reply, err := unwrap(c.Read(ctx, &wire.ReadRequest{Stale: true, Orders: true}))
				if err != nil {
					return nil, err
				}
				return reply.Orders, nil
			},
			Barrier: func(ctx context.Context) error { return b.replicatorRef.ptr.Barrier(ctx) },
			Propose: func(ctx context.Context, command *wire.Command) error {
				// A member doesn't forward a proposal that is marked as
				// forwarded, so success means that this member was the
				// leader when the command was committed.
				_, err := unwrap(c.Propose(ctx, &wire.ProposeRequest{Command: command, Forwarded: true}))
				return err
			},
			Targets:      targets.Live,
			Send:         issuer.Post(b.settings.OrderKey),
			LoadInterval: b.settings.MinLoadInterval(),
			Logger:       k.Logger("issuer"),
		})
		return i, kernel.Hook(i.Run), nil
	})
}

// leaderTerm returns the current term if this instance is the leader of the
// replicated log, or 0 otherwise.
func (b *builder) leaderTerm() uint64 {
	term, _, _ := b.replicatorRef.ptr.Status()
	if b.replicatorRef.ptr.Leader() != b.settings.Name {
		return 0
	}
	// The leader may have changed between the calls to Status and Leader.
	if again, _, _ := b.replicatorRef.ptr.Status(); again != term {
		return 0
	}
	return term
}
