package coordinator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/papayapond/papayapond/internal/coordinator"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/spender"
	"github.com/papayapond/papayapond/internal/synchronizer"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

const (
	// coreCount is the number of core instances of a simulated fleet.
	coreCount = 5
	// targetsPerEntry is the number of targets for each entry instance in TestGrowth.
	targetsPerEntry = 10
	// accountCount is the number of accounts of a simulated fleet.
	accountCount = 40
	// roundTrip is the time that a call takes beside its work.
	roundTrip = 2 * time.Millisecond
)

// traffic counts what one instance was sent.
type traffic struct{ calls, bytes, commits int }

// simulation is a fleet of the real parts over a fake network and log.
type simulation struct {
	mu       sync.Mutex
	leader   string
	cut      bool // entry instances can't reach core instances
	received map[string]*traffic
	log      *log
	versions map[string]time.Time // when each entry instance got the newest ruleset
	newest   uint64
	targets  int
	entries  []*synchronizer.Synchronizer
	spenders []*spender.Spender
}

func coreName(i int) string { return fmt.Sprint("core", i) }

// newSimulation starts a fleet that runs until ctx ends.
func newSimulation(ctx context.Context, t *testing.T, entries, targets int) *simulation {
	s := &simulation{leader: coreName(0), received: map[string]*traffic{}, versions: map[string]time.Time{}, targets: targets, log: &log{coordinators: map[string]*coordinator.Coordinator{}}}
	var cores []string
	for i := range coreCount {
		name := coreName(i)
		cores = append(cores, name)
		s.received[name] = &traffic{}
		s.log.coordinators[name] = coordinator.New(coordinator.Config{
			Name: name, Leader: s.currentLeader, Term: func() uint64 { return 1 },
			Instances: func() []string { return cores }, Barrier: func(context.Context) error { return nil },
			Propose: func(_ context.Context, c []byte) (uint64, []byte, error) {
				time.Sleep(roundTrip)
				s.count(name, func(t *traffic) { t.commits++ })
				return s.log.propose(name, c)
			},
			Peer: func(peer string) wire.DRPCSteeringClient { return s.client(peer, false) },
			Now:  time.Now,
		})
	}
	for i := range coreCount {
		go s.log.coordinators[coreName(i)].Run(ctx)
	}
	s.publish(t, 1)
	for i := range s.targets {
		c := s.log.coordinators[coreName(i%coreCount)]
		l := &wire.Listing{Id: fmt.Sprint("target", i), Born: 1, Pool: "p", Address: fmt.Sprint(i), Capacity: 24}
		go func() {
			time.Sleep(rand.N(1200 * time.Millisecond))
			for ctx.Err() == nil {
				if err := c.Announce(ctx, l); err != nil && ctx.Err() == nil && s.currentLeader() != "" {
					t.Errorf("announcement of %s: %v", l.Id, err)
				}
				time.Sleep(1200 * time.Millisecond)
			}
		}()
	}
	for i := range entries {
		s.startEntry(ctx, i)
	}
	return s
}

// startEntry starts the control part of an entry instance with some load.
func (s *simulation) startEntry(ctx context.Context, i int) {
	name := fmt.Sprint("entry", i)
	started := time.Now()
	var e *synchronizer.Synchronizer
	tokens := spender.New(spender.Config{
		Isolated: func() bool { return e.SinceContact() > 2200*time.Millisecond }, CoresUnreachable: func() bool { return e.SinceContact() > 900*time.Millisecond },
	})
	e = synchronizer.New(synchronizer.Config{
		Instance: name + "#1", Machine: name, Zone: fmt.Sprint("zone", i%coreCount), Address: name, Boot: "boot",
		Clock: func() time.Duration { return time.Since(started) }, Seeds: func() []string { return []string{coreName(0), coreName(1), coreName(2)} },
		Peer:       func(peer string) wire.DRPCSteeringClient { return s.client(peer, true) },
		Allowances: tokens.Declare,
		Loads: func() []*wire.Load {
			var list []*wire.Load
			for range 8 {
				list = append(list, &wire.Load{Target: fmt.Sprint("target", rand.IntN(s.targets)), Running: 1, Unread: 5000, Memory: 9000})
			}
			return list
		},
		Evidence: func() *wire.Evidence { return nil }, TargetLimits: func() []*wire.TargetLimit { return nil },
		OnRuleset: func(r *ruleset.Ruleset) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if r.Version() == s.newest {
				s.versions[name] = time.Now()
			}
		},
		OnReply: func(_ *wire.SyncRequest, r *wire.SyncReply) { tokens.UpdateLimits(r.Limits, int(r.Entries)) },
	})
	for a := range accountCount {
		tokens.AddAccounts([]string{fmt.Sprint("account", a)})
	}
	s.entries, s.spenders = append(s.entries, e), append(s.spenders, tokens)
	go func() {
		time.Sleep(rand.N(300 * time.Millisecond))
		e.Run(ctx)
	}()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(rand.N(400 * time.Millisecond))
			if r, err := tokens.Reserve(ctx, fmt.Sprint("account", rand.IntN(accountCount)), 8000); err == nil {
				time.AfterFunc(time.Second, func() { r.Settle(6000) })
			}
		}
	}()
}

// publish submits a ruleset through a core instance that doesn't lead.
func (s *simulation) publish(t *testing.T, version uint64) {
	cfg := ruleset.Config{Version: version, Pools: []pool.Pool{{Name: "p"}}, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 1, Split: []route.Share{{Pool: "p", Weight: 1}}}}}
	for i := range accountCount {
		cfg.Accounts = append(cfg.Accounts, prepaid.Prepaid{Name: fmt.Sprint("account", i)}.WithTokens(1<<30))
	}
	r, err := ruleset.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	s.newest = version
	clear(s.versions)
	s.mu.Unlock()
	if err := s.log.coordinators[coreName(1)].Submit(t.Context(), r, nil); err != nil {
		t.Fatal(err)
	}
}

func (s *simulation) count(name string, add func(*traffic)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(s.received[name])
}

// busiest returns the highest counts of the core instances over a span of time, each
// for a second.
func (s *simulation) busiest(span time.Duration) (calls, bytes, commits float64) {
	s.mu.Lock()
	for _, t := range s.received {
		*t = traffic{}
	}
	s.mu.Unlock()
	time.Sleep(span)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.received {
		calls = max(calls, float64(t.calls)/span.Seconds())
		bytes = max(bytes, float64(t.bytes)/span.Seconds())
		commits = max(commits, float64(t.commits)/span.Seconds())
	}
	return calls, bytes, commits
}

// line is the network between two instances.
type line struct {
	s         *simulation
	to        string
	fromEntry bool
}

func (s *simulation) client(to string, fromEntry bool) wire.DRPCSteeringClient {
	return line{s, to, fromEntry}
}

func (line) DRPCConn() drpc.Conn { return nil }

// carry makes one call, or lets it hang while the network is cut.
func carry[Q, R proto.Message](ctx context.Context, l line, q Q, serve func(*coordinator.Coordinator, context.Context, Q) (R, error)) (R, error) {
	l.s.mu.Lock()
	c, cut := l.s.log.coordinators[l.to], l.s.cut && l.fromEntry
	l.s.mu.Unlock()
	if cut || c == nil {
		<-ctx.Done()
		return *new(R), ctx.Err()
	}
	time.Sleep(roundTrip)
	reply, err := exchange(ctx, q, func(ctx context.Context, q Q) (R, error) { return serve(c, ctx, q) })
	size := proto.Size(q)
	if err == nil {
		size += proto.Size(reply)
	}
	l.s.count(l.to, func(t *traffic) { t.calls++; t.bytes += size })
	return reply, err
}

func (l line) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	return carry(ctx, l, q, (*coordinator.Coordinator).Sync)
}

func (l line) Collect(ctx context.Context, q *wire.BatchRequest) (*wire.BatchReply, error) {
	return carry(ctx, l, q, (*coordinator.Coordinator).Collect)
}

func (l line) Publish(ctx context.Context, q *wire.PublishRequest) (*wire.PublishReply, error) {
	return carry(ctx, l, q, (*coordinator.Coordinator).Publish)
}

func (l line) Newest(ctx context.Context, q *wire.NewestRequest) (*wire.NewestReply, error) {
	return carry(ctx, l, q, (*coordinator.Coordinator).Newest)
}

func (l line) Trace(ctx context.Context, q *wire.TraceRequest) (*wire.TraceReply, error) {
	return carry(ctx, l, q, (*coordinator.Coordinator).Trace)
}

// The commits of the leader must not grow with the number of entry instances and of
// targets, and what one core instance is sent must grow no faster than they do. When
// each instance and each target called the leader, these were 600 commits and 3,000
// calls a second at 300 entry instances, and the core collapsed. A ruleset must be in
// force everywhere within a second at each size.
func TestGrowth(t *testing.T) {
	type load struct{ calls, bytes, commits float64 }
	loads := map[int]load{}
	for _, size := range []int{30, 100, 300} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := newSimulation(ctx, t, size, size*targetsPerEntry)
			time.Sleep(3 * time.Second)
			l := load{}
			l.calls, l.bytes, l.commits = s.busiest(time.Second)
			loads[size] = l
			t.Logf("%d entry instances: %.0f calls, %.0f bytes and %.0f commits a second at the busiest core instance", size, l.calls, l.bytes, l.commits)
			published := time.Now()
			s.publish(t, 2)
			time.Sleep(time.Second)
			s.mu.Lock()
			got := len(s.versions)
			for name, at := range s.versions {
				if at.Sub(published) > time.Second {
					t.Errorf("%s: ruleset in force after %v, want 1 s", name, at.Sub(published))
				}
			}
			s.mu.Unlock()
			if got != size {
				t.Errorf("%d entry instances: %d got the ruleset within a second, want all", size, got)
			}
			cancel()
			time.Sleep(2 * time.Second)
		})
	}
	if got, want := loads[300].commits, 150.0; got > want {
		t.Errorf("got %.0f commits a second at 300 entry instances, want at most %.0f", got, want)
	}
	for _, size := range []int{100, 300} {
		growth := float64(size) / 30
		if got, want := loads[size].calls, loads[30].calls*growth*1.2; got > want {
			t.Errorf("got %.0f calls a second at %d entry instances and %.0f at 30, want at most %.0f", got, size, loads[30].calls, want)
		}
	}
}

// Instances that were cut off from all core instances must be back within two seconds
// of the end of the cut, and must not call more often than before while it lasts:
// calls for which nobody waits any more were what kept the core from recovering.
func TestReturnAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newSimulation(ctx, t, 300, 165)
		time.Sleep(2 * time.Second)
		before, _, _ := s.busiest(time.Second)
		s.mu.Lock()
		s.cut = true
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		s.mu.Lock()
		s.cut = false
		s.mu.Unlock()
		after, _, _ := s.busiest(2 * time.Second)
		if after > 1.5*before {
			t.Errorf("got %.0f calls a second at the busiest core instance after the cut and %.0f before, want at most half more", after, before)
		}
		for i, e := range s.entries {
			if got, want := e.SinceContact(), time.Second; got > want {
				t.Errorf("entry instance %d: got %v since the last contact, want at most %v", i, got, want)
			}
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// A lost leader must not make the calls of all instances multiply: each asks two core
// instances and waits.
func TestLostLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newSimulation(ctx, t, 300, 165)
		time.Sleep(2 * time.Second)
		before, _, _ := s.busiest(time.Second)
		for _, c := range s.log.coordinators {
			if err := c.Announce(ctx, &wire.Listing{Id: "target0", Born: 1, Pool: "p", Address: "0", Capacity: 24}); err != nil {
				t.Error(err)
			}
		}
		s.mu.Lock()
		s.leader = ""
		s.mu.Unlock()
		during, _, _ := s.busiest(time.Second)
		if during > 2.5*before {
			t.Errorf("got %.0f calls a second at the busiest core instance without a leader and %.0f before, want at most 2.5 times as many", during, before)
		}
		if err := s.log.coordinators[coreName(1)].Announce(ctx, &wire.Listing{Id: "target0", Born: 1, Pool: "p", Address: "0", Capacity: 24}); fault.Of(err) != fault.Isolated {
			t.Errorf("announcement without a leader: got %v, want %v", err, fault.Isolated)
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

func (s *simulation) currentLeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}
