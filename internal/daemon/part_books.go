package daemon

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/papayapond/papayapond/internal/holder"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/member"
	"github.com/papayapond/papayapond/internal/reporter"
	"github.com/papayapond/papayapond/internal/reserver"
	"github.com/papayapond/papayapond/internal/resubmitter"
	"github.com/papayapond/papayapond/internal/subscriber"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/internal/witness"
)

func (b *builder) holder() fx.Option {
	return kernel.Part(nameHolder, func(k *kernel.Kernel) (any, fx.Hook, error) {
		s, err := kernel.Find[*subscriber.Subscriber](k, nameSubscriber)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		h, err := holder.New(holder.Config{
			Name: b.settings.Name, Zone: b.settings.Zone, Path: b.settings.Data,
			Peers:          b.otherHolders(),
			Instances:      b.instances,
			LocalInstances: b.zonePeers(),
			RetainBills: func(ctx context.Context, name string, q *wire.CopyRequest) (*wire.CopyReply, error) {
				return b.peers.books(name).Copy(ctx, q)
			},
			ReserveShare: func() float64 {
				if v := s.Current(); v != nil {
					return v.Venture().Reserve
				}
				return 1
			},
			Propose: b.peers.propose(b.holders()),
			Read:    b.peers.read(b.holders()),
			Copy: func(ctx context.Context, name string, q *wire.CopyRequest) (*wire.CopyReply, error) {
				return b.peers.books(name).Copy(ctx, q)
			},
			Fetch: func(ctx context.Context, name string, q *wire.FetchRequest) (*wire.FetchReply, error) {
				return b.peers.books(name).Fetch(ctx, q)
			},
			Release: func(ctx context.Context, name string, q *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
				return b.peers.books(name).Release(ctx, q)
			},
			Tally: func(ctx context.Context, name string, q *wire.TallyRequest) (*wire.TallyReply, error) {
				return b.peers.books(name).Tally(ctx, q)
			},
			Now:    time.Now,
			Logger: k.Logger(nameHolder),
		})
		if err != nil {
			return nil, fx.Hook{}, err
		}
		return h, kernel.Hook(h.Run), wire.DRPCRegisterBooks(b.mux, h)
	})
}

// instances returns the names of all instances. Any instance may draw from any
// holder, and so may retain bills for it.
func (b *builder) instances() []string {
	var names []string
	for _, p := range b.settings.Peers {
		names = append(names, p.Name)
	}
	return names
}

// zonePeers returns the names of the other instances in this zone.
func (b *builder) zonePeers() []string {
	var names []string
	for _, p := range b.settings.Peers {
		if p.Zone == b.settings.Zone && p.Name != b.settings.Name {
			names = append(names, p.Name)
		}
	}
	return names
}

// witness retains copies of bills for the holder of the zone.
func (b *builder) witness() fx.Option {
	return kernel.Part("witness", func(k *kernel.Kernel) (any, fx.Hook, error) {
		r, err := kernel.Find[*reserver.Reserver](k, nameReserver)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		w := witness.New(witness.Config{Zone: b.settings.Zone, Holder: b.settings.Holder(b.settings.Zone), RetainBills: r.RetainBills})
		return w, fx.Hook{}, wire.DRPCRegisterBooks(b.mux, w)
	})
}

func (b *builder) resubmitter() fx.Option {
	return kernel.Part("resubmitter", func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		m := find[*member.Member](k, nameMember, &err)
		res := find[*reserver.Reserver](k, nameReserver, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		read := b.peers.read(b.holders())
		r := resubmitter.New(resubmitter.Config{
			Holding:   m.Holding,
			StartTime: uint64(time.Now().UnixNano()),
			Holders:   b.holdersByZone(),
			Epochs: func(ctx context.Context) (map[string]uint64, error) {
				state, err := read(ctx, &wire.ReadRequest{Stale: true})
				return state.GetEpochs(), err
			},
			RetainedBills: res.RetainedBills,
			DropRetained:  res.DropRetained,
			Resubmit: func(ctx context.Context, holder string, q *wire.KeepRequest) error {
				ctx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				_, err := unwrap(b.peers.books(holder).Keep(ctx, q))
				return err
			},
			Logger: k.Logger("resubmitter"),
		})
		return r, kernel.Hook(r.Run), nil
	})
}

func (b *builder) reserver() fx.Option {
	return kernel.Part(nameReserver, func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		s := find[*subscriber.Subscriber](k, nameSubscriber, &err)
		m := find[*member.Member](k, nameMember, &err)
		report := find[*reporter.Reporter](k, nameReporter, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		r := reserver.New(reserver.Config{
			Holding: m.Holding,
			Holders: s.Holders,
			Draw: func(ctx context.Context, name string, q *wire.DrawRequest) (*wire.DrawReply, error) {
				start := time.Now()
				reply, err := b.peers.books(name).Draw(ctx, q)
				report.ObserveCall("draw", start, reply.GetFault(), err)
				return reply, err
			},
			Return: func(ctx context.Context, name string, q *wire.ReturnRequest) (*wire.ReturnReply, error) {
				start := time.Now()
				reply, err := b.peers.books(name).Return(ctx, q)
				report.ObserveCall("return", start, reply.GetFault(), err)
				return reply, err
			},
			Settle: func(ctx context.Context, name string, q *wire.SettleRequest) (*wire.SettleReply, error) {
				start := time.Now()
				reply, err := b.peers.books(name).Settle(ctx, q)
				report.ObserveCall("settle", start, reply.GetFault(), err)
				return reply, err
			},
			Now:    time.Now,
			Logger: k.Logger(nameReserver),
		})
		return r, kernel.Hook(r.Run), nil
	})
}
