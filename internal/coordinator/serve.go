package coordinator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
)

// Announce accepts an announcement of a target. One that changes nothing is
// answered from the state of this instance while it is in contact with the leader,
// which hears of it with the next batch.
func (c *Coordinator) Announce(ctx context.Context, l *wire.Listing) error {
	c.mu.Lock()
	changes, known := c.targets.Changes(l), c.targets.Known(l)
	c.mu.Unlock()
	if !changes && c.collector.SinceContact() < maxContactAge {
		if known {
			c.collector.KeepAlive(l.Id)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.collector.Enlist(ctx, l)
}

// Submit commits a ruleset through the leader. It has no effect unless its
// version is higher than the one in force.
func (c *Coordinator) Submit(ctx context.Context, r *ruleset.Ruleset, source []byte) error {
	encoded, err := r.Encode()
	if err != nil {
		return err
	}
	q := &wire.PublishRequest{Version: r.Version(), Ruleset: encoded, Source: source}
	_, err = forward(ctx, c, func(ctx context.Context, p wire.DRPCSteeringClient) (*wire.PublishReply, error) {
		return p.Publish(ctx, q)
	}, func(ctx context.Context) (*wire.PublishReply, error) { return c.Publish(ctx, q) })
	return err
}

// Read returns the newest ruleset as sent by the operator.
func (c *Coordinator) Read(ctx context.Context) (version uint64, source []byte, err error) {
	reply, err := forward(ctx, c, func(ctx context.Context, p wire.DRPCSteeringClient) (*wire.NewestReply, error) {
		return p.Newest(ctx, &wire.NewestRequest{})
	}, func(ctx context.Context) (*wire.NewestReply, error) { return c.Newest(ctx, &wire.NewestRequest{}) })
	if err != nil {
		return 0, nil, err
	}
	return reply.Version, reply.Source, nil
}

// faulty is a reply that may carry an error.
type faulty interface{ GetFault() *wire.Fault }

// forward calls the leader, locally if this instance leads.
func forward[R faulty](ctx context.Context, c *Coordinator, remote func(context.Context, wire.DRPCSteeringClient) (R, error), local func(context.Context) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply R
	leader := c.cfg.Leader()
	if leader == "" {
		return reply, eris.Wrap(fault.Isolated, "no leader is known")
	}
	var err error
	if leader == c.cfg.Name {
		reply, err = local(ctx)
	} else {
		reply, err = remote(ctx, c.cfg.Peer(leader))
	}
	if err != nil {
		return reply, eris.Wrapf(fault.Unavailable, "leader %s: %v", leader, err)
	}
	return reply, reply.GetFault().Err()
}

// Publish implements wire.DRPCSteeringServer. Only the leader serves it.
func (c *Coordinator) Publish(ctx context.Context, q *wire.PublishRequest) (*wire.PublishReply, error) {
	if err := c.ensureLeader(ctx); err != nil {
		return &wire.PublishReply{Fault: wire.NewFault(err), Leader: c.cfg.Leader()}, nil
	}
	_, err := c.commit(ctx, &wire.Directive{Change: &wire.Directive_Publish{Publish: q}})
	return &wire.PublishReply{Fault: wire.NewFault(err)}, nil
}

// Newest implements wire.DRPCSteeringServer. Only the leader serves it.
func (c *Coordinator) Newest(ctx context.Context, _ *wire.NewestRequest) (*wire.NewestReply, error) {
	err := c.ensureLeader(ctx)
	if err == nil {
		err = c.barrier(ctx)
	}
	if err != nil {
		return &wire.NewestReply{Fault: wire.NewFault(err), Leader: c.cfg.Leader()}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rules == nil {
		return &wire.NewestReply{Fault: wire.NewFault(eris.Wrap(fault.Unavailable, "no ruleset is known"))}, nil
	}
	return &wire.NewestReply{Version: c.rules.Version(), Source: c.source}, nil
}
