package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/finder"
	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/route"
)

// relayTimeout limits a look-up at the leader for another entry instance, which
// itself waits for 300 ms.
const relayTimeout = 200 * time.Millisecond

// newFinder returns the finder of the instance.
func (e *Entry) newFinder() *finder.Finder {
	return finder.New(finder.Config{
		Tracer: e.tracer, Cores: e.sync.Cores, Neighbors: e.gossiper.Neighbors, Remote: e.gossiper.Remote,
		CoresUnreachable: func() bool { return e.sync.SinceContact() > coresUnreachableAfter },
		Peer: func(name string) wire.DRPCSteeringClient {
			return wire.NewDRPCSteeringClient(e.dialer.Conn(name))
		},
		Routing: e.routing, Observe: e.cfg.OnLookup, Recoverer: e.recoverer, Logger: e.cfg.Logger.Named("finder"),
	})
}

// routing returns the digest of the routes that may get requests of a route, "" without
// a ruleset.
func (e *Entry) routing(of route.Route) string {
	if r := e.rules.Load(); r != nil {
		return r.Routing(of)
	}
	return ""
}

// RecordOrigin keeps which pool and software version have begun a stream. The request
// that brought the first event is named by its account and its attempt. It is called
// before the event is relayed.
func (e *Entry) RecordOrigin(account, attempt, pool, version string) {
	e.tracer.Record(tracer.Key(account, attempt), pool, version)
}

// Trace returns the pool and the software version that have begun a stream which a
// caller takes up on a route. The window is the time in which the request that brought
// the first event may have been sent. The error wraps fault.Unavailable if no instance
// knows.
func (e *Entry) Trace(ctx context.Context, account, attempt string, r route.Route, window time.Duration) (pool, version string, err error) {
	return e.finder.Find(ctx, account, attempt, r, window)
}

// Trace answers from the records of this instance. Without one, it asks the leader if
// the caller wants that.
func (r relayServer) Trace(ctx context.Context, q *wire.TraceRequest) (*wire.TraceReply, error) {
	if pool, version, ok := r.e.tracer.Find(q.Attempt); ok {
		return &wire.TraceReply{Found: true, Recorded: true, Pool: pool, Version: version}, nil
	}
	if cores := r.e.sync.Cores(); q.Relay && len(cores) > 0 && r.e.SinceContact() <= coresUnreachableAfter {
		ctx, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		return wire.NewDRPCSteeringClient(r.e.dialer.Conn(cores[0])).Trace(ctx, q)
	}
	return &wire.TraceReply{Fault: wire.NewFault(eris.Wrap(fault.Isolated, "the leader wasn't asked"))}, nil
}
