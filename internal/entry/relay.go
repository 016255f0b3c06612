package entry

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// errEntry is the answer to calls that only core instances serve.
var errEntry = eris.Wrap(fault.Isolated, "this is an entry instance")

// relayer passes calls of other entry instances on to the leader.
type relayer struct{ e *Entry }

// Sync passes a call on.
func (r relayer) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	return r.e.sync.Relay(ctx, q)
}

// Enlist refuses.
func (relayer) Enlist(context.Context, *wire.EnlistRequest) (*wire.EnlistReply, error) {
	return &wire.EnlistReply{Fault: wire.NewFault(errEntry)}, nil
}

// Publish refuses.
func (relayer) Publish(context.Context, *wire.PublishRequest) (*wire.PublishReply, error) {
	return &wire.PublishReply{Fault: wire.NewFault(errEntry)}, nil
}

// Newest refuses.
func (relayer) Newest(context.Context, *wire.NewestRequest) (*wire.NewestReply, error) {
	return &wire.NewestReply{Fault: wire.NewFault(errEntry)}, nil
}

// relay serves other entry instances until ctx ends.
func (e *Entry) relay(ctx context.Context, l net.Listener) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterSteering(mux, relayer{e}); err != nil {
		e.cfg.Logger.Error("Registering the relay failed.", zap.Error(err))
		return
	}
	if err := wire.DRPCRegisterLending(mux, e.lender); err != nil {
		e.cfg.Logger.Error("Registering the lender failed.", zap.Error(err))
		return
	}
	if err := wire.DRPCRegisterGossip(mux, e.gossiper); err != nil {
		e.cfg.Logger.Error("Registering the gossiper failed.", zap.Error(err))
		return
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.Options()})
	if err := server.Serve(ctx, l); err != nil && ctx.Err() == nil {
		e.cfg.Logger.Error("Serving entry instances failed.", zap.Error(err))
	}
}
