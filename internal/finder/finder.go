package finder

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/recoverer"
	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/route"
)

const (
	// askTimeout limits one round of calls.
	askTimeout = 300 * time.Millisecond
	// neighborDelay is how long the core instances may take until other entry
	// instances are asked as well.
	neighborDelay = 100 * time.Millisecond
	// repeatDelay is the time until the leader is asked again about a stream that it
	// has no record of: within it, records that are on their way arrive.
	repeatDelay = 250 * time.Millisecond
	// maxNeighbors limits the entry instances of the zone that are asked, maxRemote
	// those of other zones.
	maxNeighbors = 64
	maxRemote    = 64
	// maxRelays limits the entry instances that ask the leader for this one.
	maxRelays = 2
)

// Sources of an answer.
const (
	fromOwn      = "own"      // a record of this instance
	fromCore     = "core"     // a record of a core instance
	fromNeighbor = "neighbor" // a record of an entry instance
	fromHistory  = "history"  // the pool had one version only, as told by the leader
	fromNone     = "none"     // nothing is known
)

// errUnknown is returned if no version is known.
var errUnknown = eris.Wrap(fault.Unavailable, "it isn't known which software version began the stream")

// Config configures a Finder.
type Config struct {
	Tracer *tracer.Tracer
	// Cores returns the core instances, Neighbors the other entry instances of the
	// zone, Remote those of other zones.
	Cores, Neighbors, Remote func() []string
	// CoresUnreachable reports whether the core instances are unreachable.
	CoresUnreachable func() bool
	// Peer returns a client for the named instance.
	Peer func(name string) wire.DRPCSteeringClient
	// Routing returns the digest of the routes that may get requests of a route.
	Routing func(r route.Route) string
	// Observe, if not nil, is called with the source of each answer.
	Observe func(source string)
	// Recoverer, if not nil, runs the calls.
	Recoverer *recoverer.Recoverer
	Logger    *zap.Logger
}

// Finder finds the versions that began streams. It is safe for concurrent use.
type Finder struct{ cfg Config }

// New returns a finder.
func New(cfg Config) *Finder {
	if cfg.Observe == nil {
		cfg.Observe = func(string) {}
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Recoverer == nil {
		cfg.Recoverer = recoverer.New(recoverer.Config{Logger: cfg.Logger})
	}
	return &Finder{cfg}
}

// Find returns the pool and the version that began a stream, from the account and the
// attempt of the request that brought its first event. The window is the time in which
// that request may have been sent. Without a record, the route of the request tells the
// pool. The error wraps fault.Unavailable if the version isn't known. Find takes at
// most about a second.
func (f *Finder) Find(ctx context.Context, account, attempt string, r route.Route, window time.Duration) (pool, version string, err error) {
	started := time.Now()
	reply, source := f.find(ctx, &wire.TraceRequest{
		Attempt: tracer.Key(account, attempt), Pool: onlyPool(r), Route: r.Base(), Routing: f.cfg.Routing(r), Window: window.Milliseconds(),
	})
	f.cfg.Observe(source)
	f.cfg.Logger.Info("stream looked up", zap.String("account", account), zap.String("first", attempt), zap.String("source", source),
		zap.String("pool", reply.Pool), zap.String("software", reply.Version), zap.Duration("took", time.Since(started)))
	if source == fromNone {
		return "", "", errUnknown
	}
	return reply.Pool, reply.Version, nil
}

// onlyPool returns the pool of a route, or "" if it has several.
func onlyPool(r route.Route) string {
	pool := ""
	for _, s := range r.Split {
		switch {
		case s.Weight <= 0 || s.Pool == pool:
		case pool != "":
			return ""
		default:
			pool = s.Pool
		}
	}
	return pool
}

// find returns what is known of a stream, and from where.
func (f *Finder) find(ctx context.Context, q *wire.TraceRequest) (*wire.TraceReply, string) {
	if pool, version, ok := f.cfg.Tracer.Find(q.Attempt); ok {
		return &wire.TraceReply{Pool: pool, Version: version}, fromOwn
	}
	a := f.ask(ctx, q, false)
	if a.found == nil && a.denied {
		// A neighbor that is cut off from the leader can't have sent its records.
		pause := time.NewTimer(repeatDelay)
		defer pause.Stop()
		select {
		case <-pause.C:
			a = f.ask(ctx, q, true)
		case <-ctx.Done():
		}
	}
	if a.found != nil {
		return a.found, a.source
	}
	return &wire.TraceReply{}, fromNone
}

// answer is the outcome of a round of calls.
type answer struct {
	found  *wire.TraceReply // nil: none
	source string           // of found
	denied bool             // the leader knows nothing
}

// call is the reply of one instance.
type call struct {
	name     string
	reply    *wire.TraceReply
	err      error
	neighbor bool
}

// round is one round of calls.
type round struct {
	f       *Finder
	q       *wire.TraceRequest
	calls   chan call
	asked   map[string]bool
	pending int
	// neighbors is the number of pending calls to neighbors.
	neighbors int
}

// ask calls the core instances until one knows the stream, or the leader denies it. If
// they don't answer soon, or if all is set, the neighbors are called too; with all, the
// denial of the leader isn't enough while a neighbor may know.
func (f *Finder) ask(ctx context.Context, q *wire.TraceRequest, all bool) answer {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	cores, neighbors := f.cfg.Cores(), f.others()
	r := &round{f: f, q: q, calls: make(chan call), asked: map[string]bool{}}
	for _, name := range cores {
		r.send(ctx, name, false, false)
	}
	delay := neighborDelay
	if all || f.cfg.CoresUnreachable() {
		delay = 0
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	waiting := true
	var a answer
	for r.pending > 0 || waiting {
		if a.found != nil || a.denied && (!all || !waiting && r.neighbors == 0) {
			return a
		}
		select {
		case <-ctx.Done():
			return a
		case <-timer.C:
			waiting = false
			for i, name := range neighbors {
				r.send(ctx, name, true, !all && i < maxRelays)
			}
		case c := <-r.calls:
			r.receive(ctx, c)
			a.add(c)
		}
	}
	return a
}

// others returns the entry instances that are asked, those of the zone first.
func (f *Finder) others() []string {
	near, far := f.cfg.Neighbors(), f.cfg.Remote()
	return slices.Concat(near[:min(len(near), maxNeighbors)], far[:min(len(far), maxRemote)])
}

// send calls an instance unless it has been called.
func (r *round) send(ctx context.Context, name string, neighbor, relay bool) {
	if r.asked[name] {
		return
	}
	r.asked[name] = true
	r.pending++
	if neighbor {
		r.neighbors++
	}
	q := &wire.TraceRequest{Attempt: r.q.Attempt, Pool: r.q.Pool, Route: r.q.Route, Routing: r.q.Routing, Window: r.q.Window, Relay: relay}
	go func() {
		var reply *wire.TraceReply
		err := r.f.cfg.Recoverer.Do("look up stream", func() (err error) {
			reply, err = r.f.cfg.Peer(name).Trace(ctx, q)
			return err
		}, zap.String("instance", name))
		select {
		case r.calls <- call{name, reply, err, neighbor}:
		case <-ctx.Done():
		}
	}()
}

// receive counts a reply, and calls the leader that a core instance has named.
func (r *round) receive(ctx context.Context, c call) {
	r.pending--
	if c.neighbor {
		r.neighbors--
	}
	if leader := c.reply.GetLeader(); c.err == nil && !c.neighbor && leader != "" {
		r.send(ctx, leader, false, false)
	}
}

// add adds the reply of an instance.
func (a *answer) add(c call) {
	if c.err != nil {
		return
	}
	switch {
	case c.reply.Found && !c.reply.Recorded:
		a.found, a.source = c.reply, fromHistory
	case c.reply.Found && c.neighbor:
		a.found, a.source = c.reply, fromNeighbor
	case c.reply.Found:
		a.found, a.source = c.reply, fromCore
	case c.reply.Fault.Err() == nil:
		a.denied = true
	}
}
