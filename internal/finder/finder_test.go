package finder_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/finder"
	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/route"
)

// script answers the calls to one instance, in order; the last answer stays. An
// instance without a script doesn't answer.
type script []*wire.TraceReply

// fleet is the other instances.
type fleet struct {
	mu      sync.Mutex
	scripts map[string]script
	calls   []string
	relays  int
}

// client calls one instance of a fleet.
type client struct {
	f    *fleet
	name string
}

func (client) DRPCConn() drpc.Conn { return nil }

func (c client) Trace(ctx context.Context, q *wire.TraceRequest) (*wire.TraceReply, error) {
	c.f.mu.Lock()
	c.f.calls = append(c.f.calls, c.name)
	if q.Relay {
		c.f.relays++
	}
	s := c.f.scripts[c.name]
	if len(s) > 1 {
		c.f.scripts[c.name] = s[1:]
	}
	c.f.mu.Unlock()
	if len(s) == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s[0], nil
}

func (client) Sync(context.Context, *wire.SyncRequest) (*wire.SyncReply, error) {
	return nil, errors.ErrUnsupported
}

func (client) Collect(context.Context, *wire.BatchRequest) (*wire.BatchReply, error) {
	return nil, errors.ErrUnsupported
}

func (client) Publish(context.Context, *wire.PublishRequest) (*wire.PublishReply, error) {
	return nil, errors.ErrUnsupported
}

func (client) Newest(context.Context, *wire.NewestRequest) (*wire.NewestReply, error) {
	return nil, errors.ErrUnsupported
}

var (
	isolated = wire.NewFault(fault.Isolated)
	denied   = &wire.TraceReply{Leader: "a"}
	follower = &wire.TraceReply{Leader: "a", Fault: isolated}
)

func record(version string) *wire.TraceReply {
	return &wire.TraceReply{Found: true, Recorded: true, Pool: "p", Version: version}
}

// ignorant is the reply of an entry instance without a record.
var ignorant = &wire.TraceReply{Fault: isolated}

var oneMinute = time.Minute

// A take-up must get the version that began its stream, and only from one that can
// know. Whoever doesn't answer mustn't hold it up for long.
func TestFind(t *testing.T) {
	history := &wire.TraceReply{Found: true, Pool: "p", Version: "v1"}
	for _, test := range []struct {
		name        string
		scripts     map[string]script
		own         string // version in an own record
		unreachable bool
		version     string // wanted; "" if none
		source      string
		within      time.Duration
	}{
		{name: "an own record is asked nobody", own: "v1", version: "v1", source: "own"},
		{name: "record of the leader", scripts: map[string]script{"a": {record("v1")}}, version: "v1", source: "core"},
		{name: "record of a follower, no leader", scripts: map[string]script{"b": {record("v1")}}, version: "v1", source: "core"},
		{name: "history of the leader", scripts: map[string]script{"a": {history}, "b": {follower}}, version: "v1", source: "history"},
		{name: "leader that isn't known yet", scripts: map[string]script{"b": {&wire.TraceReply{Leader: "d", Fault: isolated}}, "d": {record("v1")}}, version: "v1", source: "core"},
		{
			name: "the record arrives a little later", scripts: map[string]script{"a": {denied, record("v1")}, "b": {follower}},
			version: "v1", source: "core", within: 250 * time.Millisecond,
		},
		{
			name: "the leader denies, a neighbor that is cut off from it knows", scripts: map[string]script{"a": {denied}, "e2": {ignorant}, "e3": {record("v2")}},
			version: "v2", source: "neighbor", within: 250 * time.Millisecond,
		},
		{
			name: "the leader denies, the own history isn't up to date", scripts: map[string]script{"a": {denied}, "e2": {ignorant}, "e3": {ignorant}, "e4": {ignorant}},
			source: "none", within: 250 * time.Millisecond,
		},
		{
			name: "the leader denies, an instance of another zone that is cut off from it knows", scripts: map[string]script{"a": {denied}, "e4": {record("v2")}},
			version: "v2", source: "neighbor", within: 250 * time.Millisecond,
		},
		{name: "the leader denies, neighbors are silent", scripts: map[string]script{"a": {denied}}, source: "none", within: 550 * time.Millisecond},
		{
			name: "silent core, record of a neighbor", scripts: map[string]script{"e3": {record("v1")}},
			version: "v1", source: "neighbor", within: 100 * time.Millisecond,
		},
		{
			name: "silent core, record in another zone", scripts: map[string]script{"e4": {record("v1")}},
			version: "v1", source: "neighbor", within: 100 * time.Millisecond,
		},
		{
			name: "core known to be silent, record of a neighbor", scripts: map[string]script{"e3": {record("v1")}}, unreachable: true,
			version: "v1", source: "neighbor",
		},
		{
			name: "a neighbor reaches the leader", scripts: map[string]script{"e2": {history}}, unreachable: true,
			version: "v1", source: "history",
		},
		{
			name: "silent core, others without a record", scripts: map[string]script{"e2": {ignorant}, "e3": {ignorant}, "e4": {ignorant}},
			source: "none", within: 300 * time.Millisecond,
		},
		{name: "all silent", source: "none", within: 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{scripts: test.scripts}
				// The only version that a list of unknown age tells of mustn't count.
				tr := tracer.New(tracer.Config{Complete: true})
				tr.ObserveRoutings(map[string]string{"h/": "digest"})
				tr.Observe(&wire.Listing{Pool: "p", Version: "v1"})
				if test.own != "" {
					tr.Record(tracer.Key("shop", "1"), "p", test.own)
				}
				var sources []string
				find := finder.New(finder.Config{
					Tracer: tr, Cores: func() []string { return []string{"a", "b"} }, Neighbors: func() []string { return []string{"e2", "e3"} }, Remote: func() []string { return []string{"e4"} },
					CoresUnreachable: func() bool { return test.unreachable }, Peer: func(name string) wire.DRPCSteeringClient { return client{f, name} },
					Routing: func(route.Route) string { return "digest" }, Observe: func(s string) { sources = append(sources, s) },
				})
				started := time.Now()
				pool, version, err := find.Find(t.Context(), "shop", "1", singlePool(), oneMinute)
				if test.version == "" && !errors.Is(err, fault.Unavailable) || test.version != "" && (err != nil || pool != "p" || version != test.version) {
					t.Errorf("got %q, %q and %v, want version %q", pool, version, err, test.version)
				}
				if !slices.Equal(sources, []string{test.source}) {
					t.Errorf("got sources %v, want %s", sources, test.source)
				}
				if got := time.Since(started); got > test.within {
					t.Errorf("got an answer after %v, want one within %v", got, test.within)
				}
				synctest.Wait()
				if test.own != "" && len(f.calls) > 0 {
					t.Errorf("with an own record: got calls to %v, want none", f.calls)
				}
				if f.relays > 2 {
					t.Errorf("got %d calls to be relayed, want at most 2", f.relays)
				}
			})
		})
	}
}

// none returns no instances.
func none() []string { return nil }

func singlePool() route.Route {
	return route.Route{Host: "H", Prefix: "/", Split: []route.Share{{Pool: "p", Weight: 1}, {Pool: "q", Weight: 0}}}
}

// A stream of a route with several pools may have begun in each of them, so that the
// versions of one pool tell nothing.
func TestSplitRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := tracer.New(tracer.Config{Complete: true})
		tr.ObserveRoutings(map[string]string{"h/": "digest"})
		tr.Observe(&wire.Listing{Pool: "p", Version: "v1"})
		tr.Observe(&wire.Listing{Pool: "q", Version: "v1"})
		find := finder.New(finder.Config{
			Tracer: tr, Cores: func() []string { return nil }, Neighbors: none, Remote: none,
			CoresUnreachable: func() bool { return true }, Routing: func(route.Route) string { return "digest" },
		})
		r := singlePool().WithSplit(route.Share{Pool: "p", Weight: 9}, route.Share{Pool: "q", Weight: 1})
		if pool, version, err := find.Find(t.Context(), "shop", "1", r, oneMinute); !errors.Is(err, fault.Unavailable) {
			t.Errorf("got %q, %q and %v, want an error", pool, version, err)
		}
	})
}

// A caller that gives up must not be waited for.
func TestFindCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{scripts: map[string]script{"a": {denied}}}
		find := finder.New(finder.Config{
			Tracer: tracer.New(tracer.Config{}), Cores: func() []string { return []string{"a"} }, Neighbors: none, Remote: none,
			CoresUnreachable: func() bool { return false }, Peer: func(name string) wire.DRPCSteeringClient { return client{f, name} },
			Routing: func(route.Route) string { return "digest" },
		})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		started := time.Now()
		if _, _, err := find.Find(ctx, "shop", "1", singlePool(), oneMinute); !errors.Is(err, fault.Unavailable) {
			t.Errorf("got %v, want %v", err, fault.Unavailable)
		}
		if got, want := time.Since(started), 20*time.Millisecond; got > want {
			t.Errorf("got an answer after %v, want one within %v", got, want)
		}
	})
}
