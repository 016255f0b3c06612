package controller

import (
	"context"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

var _ wire.DRPCControlServer = (*Controller)(nil)

// Propose replicates a command and returns the reply of Apply. A member that
// can't replicate forwards the command to the leader. Errors are returned in
// the reply. After fault.Isolated the command may or may not be applied later,
// and it is safe to send it again.
func (c *Controller) Propose(ctx context.Context, r *wire.ProposeRequest) (*wire.ProposeReply, error) {
	if r.Command == nil {
		return &wire.ProposeReply{Fault: wire.NewFault(eris.Wrap(fault.Malformed, "proposal requires a command"))}, nil
	}
	reply, err := c.replicate(ctx, r.Command)
	if err != nil && fault.Of(err) == fault.Isolated && !r.Forwarded {
		if leader := c.config.Leader(); leader != "" {
			reply, err = c.config.Forward(ctx, leader, &wire.ProposeRequest{Command: r.Command, Forwarded: true})
		}
		if err != nil {
			err = eris.Wrapf(fault.Isolated, "proposal: %v", err)
		}
	}
	if err != nil {
		return &wire.ProposeReply{Fault: wire.NewFault(err)}, nil
	}
	return reply, nil
}

// replicate adds a timestamp to a command and appends it to the log.
func (c *Controller) replicate(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error) {
	stamped := proto.CloneOf(command)
	stamped.Time = c.config.Now().UnixNano()
	if m := stamped.GetConfigure(); m != nil && len(m.Zones) == 0 {
		m.Zones = c.config.Zones
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(stamped)
	if err != nil {
		return nil, eris.Wrap(fault.Malformed, "cannot encode command")
	}
	index, result, err := c.config.Replicate(ctx, b)
	if err != nil {
		return nil, err
	}
	var reply wire.ProposeReply
	if err := proto.Unmarshal(result, &reply); err != nil {
		return nil, eris.Wrapf(fault.Internal, "cannot decode result of command %d", index)
	}
	c.logCommit(command, index, reply.Fault)
	return &reply, nil
}

// logCommit logs committed claims and outcomes, so that a caller's request can
// be traced.
func (c *Controller) logCommit(command *wire.Command, index uint64, refused *wire.Fault) {
	if m := command.GetClaim(); m != nil {
		c.config.Logger.Debug("claim committed", zap.String("request", m.Request), zap.String("account", m.Account), zap.String("entry", m.Instance), zap.Uint64("index", index), zap.String("fault", refused.GetCode()))
	}
	if m := command.GetResolve(); m != nil {
		c.config.Logger.Debug("outcome committed", zap.String("request", m.Request), zap.String("account", m.Account), zap.String("entry", m.Instance), zap.Uint64("index", index), zap.String("fault", refused.GetCode()))
	}
}

// Read returns the state. The read is linearizable unless Stale is set.
func (c *Controller) Read(ctx context.Context, r *wire.ReadRequest) (*wire.ReadReply, error) {
	if !r.Stale {
		if err := c.config.Barrier(ctx); err != nil {
			return &wire.ReadReply{Fault: wire.NewFault(err)}, nil
		}
	}
	reply, current := c.read(r)
	reply.Leader = c.config.Leader()
	if c.config.Status != nil {
		reply.Term, _, reply.Members = c.config.Status()
	}
	// Printing is slow with many accounts and must not block the log.
	if current != nil {
		reply.Digest = current.Digest()
		if r.Document {
			reply.Document = current.Text()
		}
	}
	return reply, nil
}

// read returns a reply and the configuration that it describes.
func (c *Controller) read(r *wire.ReadRequest) (*wire.ReadReply, *configuration.Configuration) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	s := c.state
	reply := &wire.ReadReply{Version: s.version(), Index: s.index, Phase: s.phase, Epochs: map[string]uint64{}}
	for zone, l := range s.ledgers {
		reply.Epochs[zone] = l.epoch
	}
	if s.statement != nil {
		reply.Balances = s.statement.Balances
	}
	if r.Pools {
		reply.Pools = s.listPools(r)
	}
	if r.Orders {
		reply.Orders = s.sortedOrders()
	}
	if known := s.claims[requestKey{r.Account, r.Request}]; known != nil && r.Request != "" {
		reply.Claim = &wire.ClaimResult{Resolved: known.Outcome != nil, Outcome: proto.CloneOf(known.Outcome), Instance: known.Claim.Instance}
	}
	return reply, s.current
}

// listPools returns the requested pools.
func (s *state) listPools(r *wire.ReadRequest) []*wire.Pool {
	if r.Account != "" {
		if p := s.pools[r.Account]; p != nil {
			return []*wire.Pool{p.toProto(r.Account)}
		}
		return nil
	}
	names := slices.Sorted(maps.Keys(s.pools))
	names = names[min(r.Offset, uint64(len(names))):]
	if r.Limit > 0 {
		names = names[:min(uint64(r.Limit), uint64(len(names)))]
	}
	pools := make([]*wire.Pool, 0, len(names))
	for _, n := range names {
		pools = append(pools, s.pools[n].toProto(n))
	}
	return pools
}
