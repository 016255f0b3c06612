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

// issuer sends orders to targets while this instance leads the control
// members.
func (b *builder) issuer() fx.Option {
	return kernel.Part("issuer", func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		c := find[*controller.Controller](k, nameController, &err)
		targets := find[*registry.Registry](k, nameRegistry, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		i := issuer.New(issuer.Config{
			Term: b.leadingTerm,
			Orders: func(ctx context.Context) ([]*wire.OrderState, error) {
				reply, err := unwrap(c.Read(ctx, &wire.ReadRequest{Stale: true, Orders: true}))
				if err != nil {
					return nil, err
				}
				return reply.Orders, nil
			},
			Barrier: func(ctx context.Context) error { return b.link.log.Barrier(ctx) },
			Propose: func(ctx context.Context, command *wire.Command) error {
				// A forwarded proposal is not forwarded again, so success means
				// that this member led when the command was committed.
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

// leadingTerm returns the term in which this instance leads the control
// members, or 0.
func (b *builder) leadingTerm() uint64 {
	term, _, _ := b.link.log.Status()
	if b.link.log.Leader() != b.settings.Name {
		return 0
	}
	// The leadership may have changed between the two calls.
	if again, _, _ := b.link.log.Status(); again != term {
		return 0
	}
	return term
}
