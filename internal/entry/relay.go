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

// errEntryInstance is the reply to calls that only core instances serve.
var errEntryInstance = eris.Wrap(fault.Isolated, "entry instances don't serve this call")

// relayServer forwards calls of other entry instances to the leader.
type relayServer struct{ e *Entry }

// Sync forwards a call.
func (r relayServer) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	return r.e.sync.Relay(ctx, q)
}

// Collect rejects the call.
func (relayServer) Collect(context.Context, *wire.BatchRequest) (*wire.BatchReply, error) {
	return &wire.BatchReply{Fault: wire.NewFault(errEntryInstance)}, nil
}

// Publish rejects the call.
func (relayServer) Publish(context.Context, *wire.PublishRequest) (*wire.PublishReply, error) {
	return &wire.PublishReply{Fault: wire.NewFault(errEntryInstance)}, nil
}

// Newest rejects the call.
func (relayServer) Newest(context.Context, *wire.NewestRequest) (*wire.NewestReply, error) {
	return &wire.NewestReply{Fault: wire.NewFault(errEntryInstance)}, nil
}

// servePeers serves other entry instances until ctx ends.
func (e *Entry) servePeers(ctx context.Context, l net.Listener) {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterSteering(mux, relayServer{e}); err != nil {
		e.cfg.Logger.Error("registering relay service failed", zap.Error(err))
		return
	}
	if err := wire.DRPCRegisterLending(mux, e.lender); err != nil {
		e.cfg.Logger.Error("registering lending service failed", zap.Error(err))
		return
	}
	if err := wire.DRPCRegisterGossip(mux, e.gossiper); err != nil {
		e.cfg.Logger.Error("registering gossip service failed", zap.Error(err))
		return
	}
	server := drpcserver.NewWithOptions(e.recoverer.Handler(mux), drpcserver.Options{Manager: dialer.Options()})
	if err := server.Serve(ctx, l); err != nil && ctx.Err() == nil {
		e.cfg.Logger.Error("serving entry instances failed", zap.Error(err))
	}
}
