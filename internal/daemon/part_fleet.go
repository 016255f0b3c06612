package daemon

import (
	"context"
	"sync"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/authenticator"
	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/controller"
	"github.com/papayapond/papayapond/internal/holder"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/member"
	"github.com/papayapond/papayapond/internal/neighbor"
	"github.com/papayapond/papayapond/internal/publisher"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/subscriber"
	"github.com/papayapond/papayapond/internal/watcher"
	"github.com/papayapond/papayapond/internal/wire"
)

func (b *builder) subscriber() fx.Option {
	return kernel.Part(nameSubscriber, func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		targets := find[*registry.Registry](k, nameRegistry, &err)
		blocked := find[*blocker.Blocker](k, nameBlocker, &err)
		a := find[*authenticator.Authenticator](k, nameAuthenticator, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		cfg := subscriber.Config{
			Apply: a.Apply,
			Name:  b.settings.Name, Zone: b.settings.Zone, Holders: b.holders(),
			Watch: b.followFunc(k),
			Announce: func(ctx context.Context, name string, q *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
				ctx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				return unwrap(b.peers.fleet(name).Announce(ctx, q))
			},
			Registry: targets, Blocker: blocked, Logger: k.Logger(nameSubscriber),
		}
		if b.settings.Disk {
			cfg.Path = b.settings.Data
		}
		s, err := subscriber.New(cfg)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		return s, kernel.Hook(s.Run), nil
	})
}

// followFunc returns a function that follows the update stream of a holder. If a
// stream times out, all connections are reopened, since others through the same
// middlebox are probably dead too.
func (b *builder) followFunc(k *kernel.Kernel) func(context.Context, string, *wire.WatchRequest, func(*wire.Update) error) (bool, error) {
	log := k.Logger("watcher")
	return watcher.New(watcher.Config{
		Watch: func(ctx context.Context, name string, q *wire.WatchRequest) (wire.DRPCFleet_WatchClient, error) {
			return b.peers.fleet(name).Watch(ctx, q)
		},
		Silent: func(holder string) {
			log.Warn("update stream timed out", zap.String("holder", holder))
			b.peers.dialer.Renew()
		},
		Logger: log,
	}).Follow
}

// neighbors follows the update streams of the holders of all other zones.
func (b *builder) neighbors() fx.Option {
	return kernel.Part("neighbors", func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		targets := find[*registry.Registry](k, nameRegistry, &err)
		blocked := find[*blocker.Blocker](k, nameBlocker, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		var all []*neighbor.Neighbor
		for zone, name := range b.holdersByZone() {
			if name != b.settings.Name {
				all = append(all, neighbor.New(neighbor.Config{
					Name: b.settings.Name, Holder: name, Zone: zone, Follow: b.followFunc(k),
					Registry: targets, Blocker: blocked, Logger: k.Logger("neighbor"),
				}))
			}
		}
		return all, kernel.Hook(func(ctx context.Context) {
			var group sync.WaitGroup
			for _, n := range all {
				group.Go(func() { n.Run(ctx) })
			}
			group.Wait()
		}), nil
	})
}

func (b *builder) member() fx.Option {
	return kernel.Part(nameMember, func(k *kernel.Kernel) (any, fx.Hook, error) {
		s, err := kernel.Find[*subscriber.Subscriber](k, nameSubscriber)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		m := member.New(member.Config{
			Self:    &wire.Peer{Name: b.settings.Name, Zone: b.settings.Zone, Address: b.settings.Peer, Public: b.settings.Public},
			Holder:  b.settings.Disk,
			Holders: b.holders,
			Beat: func(ctx context.Context, name string, q *wire.BeatRequest) (*wire.BeatReply, error) {
				return b.peers.fleet(name).Beat(ctx, q)
			},
			Refused:  isRefused,
			Version:  s.Version,
			InFlight: b.countInFlight,
			Fence:    b.fenceFunc(k),
			Logger:   k.Logger(nameMember),
		})
		return m, kernel.Hook(m.Run), nil
	})
}

// fenceFunc returns a function that fences an incarnation in the ledger of this
// instance, or nil if the instance has no disk. The holder is built after the
// member, so it is looked up on each call.
func (b *builder) fenceFunc(k *kernel.Kernel) func(string, uint64) error {
	if !b.settings.Disk {
		return nil
	}
	return func(instance string, incarnation uint64) error {
		h, err := kernel.Find[*holder.Holder](k, nameHolder)
		if err != nil {
			return err
		}
		l := h.Ledger()
		if l == nil {
			return nil
		}
		return l.Fence(instance, incarnation)
	}
}

func (b *builder) publisher() fx.Option {
	return kernel.Part(namePublisher, func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		targets := find[*registry.Registry](k, nameRegistry, &err)
		blocked := find[*blocker.Blocker](k, nameBlocker, &err)
		c := find[*controller.Controller](k, nameController, &err)
		m := find[*member.Member](k, nameMember, &err)
		s := find[*subscriber.Subscriber](k, nameSubscriber, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		p := publisher.New(publisher.Config{
			Zone: b.settings.Zone, Registry: targets, Blocker: blocked,
			Read:          func(ctx context.Context, q *wire.ReadRequest) (*wire.ReadReply, error) { return unwrap(c.Read(ctx, q)) },
			Configuration: c.Configuration, Stored: s.Current(), Changed: c.Changed,
			Peers:  m.Peers,
			Quorum: func() bool { return b.replicatorRef.ptr.Leader() != "" },
			Logger: k.Logger(namePublisher),
		})
		return p, fx.Hook{}, nil
	})
}

// fleetServer implements the DRPC service Fleet on an instance with a disk.
type fleetServer struct {
	*publisher.Publisher
	member *member.Member
}

// Beat handles a heartbeat from another instance.
func (f *fleetServer) Beat(ctx context.Context, q *wire.BeatRequest) (*wire.BeatReply, error) {
	return f.member.Beat(ctx, q)
}

// heartbeatServer implements the DRPC service Fleet on an instance without a
// disk. It only answers heartbeats, so that other instances can probe it.
type heartbeatServer struct {
	wire.DRPCFleetUnimplementedServer
	member *member.Member
}

// Beat answers a heartbeat probe.
func (f *heartbeatServer) Beat(ctx context.Context, q *wire.BeatRequest) (*wire.BeatReply, error) {
	return f.member.Beat(ctx, q)
}

func (b *builder) fleet() fx.Option {
	return kernel.Part("fleet", func(k *kernel.Kernel) (any, fx.Hook, error) {
		m, err := kernel.Find[*member.Member](k, nameMember)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		if !b.settings.Disk {
			return m, fx.Hook{}, wire.DRPCRegisterFleet(b.mux, &heartbeatServer{member: m})
		}
		p, err := kernel.Find[*publisher.Publisher](k, namePublisher)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		return m, fx.Hook{}, wire.DRPCRegisterFleet(b.mux, &fleetServer{Publisher: p, member: m})
	})
}
