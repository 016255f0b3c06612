package daemon

import (
	"context"
	"path/filepath"
	"time"

	"go.uber.org/fx"

	"github.com/papayapond/papayapond/internal/controller"
	"github.com/papayapond/papayapond/internal/dissolver"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/replicator"
	"github.com/papayapond/papayapond/internal/wire"
)

// transferTimeout bounds the leadership transfer during a graceful shutdown.
const transferTimeout = 2 * time.Second

// replicatorRef breaks the dependency cycle between the controller and the
// replicator. The controller is built first; ptr is set once the replicator has
// been built.
type replicatorRef struct {
	ptr *replicator.Replicator
}

func (b *builder) controller() fx.Option {
	return kernel.Part(nameController, func(k *kernel.Kernel) (any, fx.Hook, error) {
		l := &replicatorRef{}
		c := controller.New(controller.Config{
			Replicate: func(ctx context.Context, command []byte) (uint64, []byte, error) { return l.ptr.Propose(ctx, command) },
			Barrier:   func(ctx context.Context) error { return l.ptr.Barrier(ctx) },
			Leader:    func() string { return l.ptr.Leader() },
			Forward: func(ctx context.Context, leader string, request *wire.ProposeRequest) (*wire.ProposeReply, error) {
				return b.peers.control(leader).Propose(ctx, request)
			},
			Status: func() (uint64, uint64, []string) { return l.ptr.Status() },
			Zones:  b.zones(),
			Now:    time.Now,
			Logger: k.Logger(nameController),
		})
		b.replicatorRef = l
		return c, fx.Hook{}, wire.DRPCRegisterControl(b.mux, c)
	})
}

func (b *builder) replicator() fx.Option {
	return kernel.Part(nameReplicator, func(k *kernel.Kernel) (any, fx.Hook, error) {
		c, err := kernel.Find[*controller.Controller](k, nameController)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		r, err := replicator.New(replicator.Config{
			Name:     b.settings.Name,
			Members:  b.settings.Holders(),
			Path:     filepath.Join(b.settings.Data, "log"),
			Apply:    c.Apply,
			Snapshot: c.Snapshot,
			Restore:  c.Restore,
			Vote: func(ctx context.Context, peer string, q *wire.VoteRequest) (*wire.VoteReply, error) {
				return b.peers.log(peer).Vote(ctx, q)
			},
			Append: func(ctx context.Context, peer string, q *wire.AppendRequest) (*wire.AppendReply, error) {
				return b.peers.log(peer).Append(ctx, q)
			},
			Install: func(ctx context.Context, peer string, q *wire.InstallRequest) (*wire.InstallReply, error) {
				return b.peers.log(peer).Install(ctx, q)
			},
			Logger: k.Logger(nameReplicator),
		})
		if err != nil {
			return nil, fx.Hook{}, err
		}
		b.replicatorRef.ptr = r
		hook := kernel.Hook(r.Run)
		stop := hook.OnStop
		hook.OnStop = func(ctx context.Context) error {
			transferCtx, cancel := context.WithTimeout(ctx, transferTimeout)
			defer cancel()
			if r.Leader() == b.settings.Name {
				_ = r.Transfer(transferCtx)
			}
			return stop(ctx)
		}
		return r, hook, wire.DRPCRegisterLog(b.mux, r)
	})
}

func (b *builder) dissolver() fx.Option {
	return kernel.Part("dissolver", func(k *kernel.Kernel) (any, fx.Hook, error) {
		d := dissolver.New(dissolver.Config{
			IsLeader: func() bool { return b.replicatorRef.ptr.Leader() == b.settings.Name },
			Read:     b.peers.read(b.holders()),
			Propose:  b.peers.propose(b.holders()),
			Holders:  b.holdersByZone(),
			Release: func(ctx context.Context, holder string, q *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
				ctx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				return unwrap(b.peers.books(holder).Release(ctx, q))
			},
			Tally: func(ctx context.Context, holder string, q *wire.TallyRequest) (*wire.TallyReply, error) {
				ctx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				return unwrap(b.peers.books(holder).Tally(ctx, q))
			},
			Logger: k.Logger("dissolver"),
		})
		return d, kernel.Hook(d.Run), nil
	})
}
