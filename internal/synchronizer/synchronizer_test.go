package synchronizer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/synchronizer"
	"github.com/papayapond/papayapond/internal/wire"
)

// network maps the name of an instance to its answers; an instance without an
// entry doesn't answer.
type network struct {
	mu      sync.Mutex
	answers map[string]func(*wire.SyncRequest) *wire.SyncReply
}

func (n *network) set(name string, answer func(*wire.SyncRequest) *wire.SyncReply) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answers[name] = answer
}

func (n *network) client(name string) wire.DRPCSteeringClient { return client{n, name} }

// client calls one instance of a network.
type client struct {
	n    *network
	name string
}

func (client) DRPCConn() drpc.Conn { return nil }

func (c client) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	c.n.mu.Lock()
	answer := c.n.answers[c.name]
	c.n.mu.Unlock()
	if answer == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return answer(q), nil
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

func (client) Trace(context.Context, *wire.TraceRequest) (*wire.TraceReply, error) {
	return nil, errors.ErrUnsupported
}

// leaderReply answers like leader a with peers e2 and e3.
func leaderReply(*wire.SyncRequest) *wire.SyncReply {
	return &wire.SyncReply{Leader: "a", Cores: []string{"a", "b", "c"}, Peers: []string{"e2", "e3"}}
}

// followerReply answers like a follower that names the leader.
func followerReply(leader string) func(*wire.SyncRequest) *wire.SyncReply {
	return func(*wire.SyncRequest) *wire.SyncReply {
		return &wire.SyncReply{Leader: leader, Fault: wire.NewFault(fault.Isolated)}
	}
}

func newSynchronizer(n *network) *synchronizer.Synchronizer { return newNamed(n, "e1") }

func newNamed(n *network, name string) *synchronizer.Synchronizer {
	started := time.Now()
	return synchronizer.New(synchronizer.Config{
		Instance: name + "#1", Machine: name, Address: name, Seeds: func() []string { return []string{"b"} }, Peer: n.client,
		Clock:      func() time.Duration { return time.Since(started) },
		Allowances: func() []*wire.Allowance { return nil }, Loads: func() []*wire.Load { return nil }, Evidence: func() *wire.Evidence { return nil }, TargetLimits: func() []*wire.TargetLimit { return nil },
		OnRuleset: func(*ruleset.Ruleset) {}, OnReply: func(*wire.SyncRequest, *wire.SyncReply) {},
	})
}

// An instance must find the leader through a seed that is a follower, find the
// new leader after a change, and use another entry instance as a relay while it
// can't reach any core instance.
func TestFindLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{answers: map[string]func(*wire.SyncRequest) *wire.SyncReply{}}
		n.set("b", followerReply("a"))
		n.set("a", leaderReply)
		s := newSynchronizer(n)
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		check := func(state string, want time.Duration) {
			t.Helper()
			if got := s.SinceContact(); got > want {
				t.Errorf("%s: got %v since the last contact, want at most %v", state, got, want)
			}
		}
		time.Sleep(time.Second)
		check("leader named by a seed", 300*time.Millisecond)

		n.set("a", nil)
		n.set("b", nil)
		n.set("c", leaderReply)
		time.Sleep(2 * time.Second)
		check("another leader", 300*time.Millisecond)

		n.set("c", nil)
		time.Sleep(2 * time.Second)
		if got := s.SinceContact(); got < time.Second {
			t.Errorf("no instance answers: got %v since the last contact", got)
		}
		n.set("e3", leaderReply)
		time.Sleep(3 * time.Second)
		// The leader is tried directly now and then, which costs a timeout.
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			check("through another entry instance", 800*time.Millisecond)
		}
		cancel()
		synctest.Wait()
	})
}

// While another entry instance relays and the leader isn't known, no call may go to an
// instance without a name: it would be the last error, in place of that of an instance.
func TestNamedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{answers: map[string]func(*wire.SyncRequest) *wire.SyncReply{}}
		n.set("b", followerReply("a"))
		n.set("a", leaderReply)
		s := newSynchronizer(n)
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(time.Second)
		unnamed := 0
		n.set("", func(*wire.SyncRequest) *wire.SyncReply { unnamed++; return followerReply("")(nil) })
		n.set("a", nil)
		n.set("b", nil)
		n.set("e3", func(q *wire.SyncRequest) *wire.SyncReply {
			n.set("e3", nil) // before the call to the leader has failed
			return leaderReply(q)
		})
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		if unnamed > 0 {
			t.Errorf("got %d calls to an instance without a name, want none", unnamed)
		}
	})
}

// The error of an instance that doesn't answer must name it once, or its reason is hard
// to read.
func TestErrorNamesInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSynchronizer(&network{})
		err := s.Close(t.Context(), nil)
		if err == nil {
			t.Fatal("got no error")
		}
		if got, want := strings.Count(err.Error(), "b: "), 1; got != want {
			t.Errorf("got the name %d times in %q, want %d", got, err, want)
		}
	})
}

// An instance that is out of contact itself must not relay a call, or calls
// would loop.
func TestRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{answers: map[string]func(*wire.SyncRequest) *wire.SyncReply{}}
		n.set("b", leaderReply)
		n.set("a", leaderReply)
		s := newSynchronizer(n)
		if r, err := s.Relay(t.Context(), &wire.SyncRequest{}); err != nil || !errors.Is(r.Fault.Err(), fault.Isolated) {
			t.Errorf("before the first contact: got %v and %v, want %v", r, err, fault.Isolated)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(time.Second)
		if r, err := s.Relay(t.Context(), &wire.SyncRequest{}); err != nil || r.Fault.Err() != nil {
			t.Errorf("in contact: got %v and %v, want the reply of the leader", r, err)
		}
		n.set("a", nil)
		n.set("b", nil)
		time.Sleep(3 * time.Second)
		if r, err := s.Relay(t.Context(), &wire.SyncRequest{}); err != nil || !errors.Is(r.Fault.Err(), fault.Isolated) {
			t.Errorf("out of contact: got %v and %v, want %v", r, err, fault.Isolated)
		}
		cancel()
		synctest.Wait()
	})
}

// Records of streams must go with each call, the last one of a planned stop included,
// and a look-up must find the core instances by then, the leader first.
func TestOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{answers: map[string]func(*wire.SyncRequest) *wire.SyncReply{}}
		closing := map[bool]int{}
		n.set("b", followerReply("a"))
		n.set("a", func(q *wire.SyncRequest) *wire.SyncReply {
			if len(q.Origins) == 1 {
				closing[q.Closing]++
			}
			return leaderReply(q)
		})
		started := time.Now()
		s := synchronizer.New(synchronizer.Config{
			Instance: "e1#1", Machine: "e1", Address: "e1", Seeds: func() []string { return []string{"b"} }, Peer: n.client,
			Clock:      func() time.Duration { return time.Since(started) },
			Allowances: func() []*wire.Allowance { return nil }, Loads: func() []*wire.Load { return nil }, Evidence: func() *wire.Evidence { return nil }, TargetLimits: func() []*wire.TargetLimit { return nil },
			Origins:   func() []*wire.Origins { return []*wire.Origins{{Pool: "p", Attempts: []uint64{1}}} },
			OnRuleset: func(*ruleset.Ruleset) {}, OnReply: func(*wire.SyncRequest, *wire.SyncReply) {},
		})
		if got, want := s.Cores(), []string{"b"}; !slices.Equal(got, want) {
			t.Errorf("before the first call: got core instances %v, want %v", got, want)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		if got, want := s.Cores(), []string{"a", "b", "c"}; !slices.Equal(got, want) {
			t.Errorf("got core instances %v, want %v", got, want)
		}
		if err := s.Close(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		if closing[false] < 4 || closing[true] != 1 {
			t.Errorf("got %d calls with records and %d last ones, want at least 4 and 1", closing[false], closing[true])
		}
	})
}

// Many instances must spread over the core instances, and one that hangs must not cost
// its callers more than a short delay.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{answers: map[string]func(*wire.SyncRequest) *wire.SyncReply{}}
		var mu sync.Mutex
		calls := map[string]int{}
		for _, name := range []string{"a", "b", "c"} {
			n.set(name, func(q *wire.SyncRequest) *wire.SyncReply {
				mu.Lock()
				defer mu.Unlock()
				calls[name]++
				return leaderReply(q)
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var all []*synchronizer.Synchronizer
		for i := range 60 {
			s := newNamed(n, fmt.Sprint("e", i))
			all = append(all, s)
			go s.Run(ctx)
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		clear(calls)
		mu.Unlock()
		time.Sleep(2 * time.Second)
		mu.Lock()
		for name, got := range calls {
			if want := 60 * 2 * 5 / 3 / 2; got < want {
				t.Errorf("%s: got %d calls, want at least %d of %d", name, got, want, 60*2*5)
			}
		}
		mu.Unlock()
		n.set("b", nil)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			for i, s := range all {
				if got, want := s.SinceContact(), 700*time.Millisecond; got > want {
					t.Errorf("e%d: got %v since the last contact, want at most %v", i, got, want)
				}
			}
		}
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// A list of changes must leave the same targets as a whole one, or requests go to
// targets that are gone.
func TestPartialList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{answers: map[string]func(*wire.SyncRequest) *wire.SyncReply{}}
		replies := []*wire.SyncReply{
			{Listed: true, Roster: 3, Targets: []*wire.Listing{{Id: "x"}, {Id: "y"}}},
			{Roster: 3},
			{Listed: true, Partial: true, Roster: 5, Targets: []*wire.Listing{{Id: "x", Gone: true}, {Id: "w"}, {Id: "y", Leaving: true}}},
			{Listed: true, Roster: 9, Targets: []*wire.Listing{{Id: "v"}}},
		}
		var held []uint64
		n.set("b", func(q *wire.SyncRequest) *wire.SyncReply {
			held = append(held, q.Roster)
			if len(replies) == 0 {
				return &wire.SyncReply{Roster: 9}
			}
			reply := replies[0]
			replies = replies[1:]
			return reply
		})
		var got []string
		started := time.Now()
		s := synchronizer.New(synchronizer.Config{
			Instance: "e1#1", Machine: "e1", Address: "e1", Seeds: func() []string { return []string{"b"} }, Peer: n.client,
			Clock:      func() time.Duration { return time.Since(started) },
			Allowances: func() []*wire.Allowance { return nil }, Loads: func() []*wire.Load { return nil }, Evidence: func() *wire.Evidence { return nil }, TargetLimits: func() []*wire.TargetLimit { return nil },
			OnRuleset: func(*ruleset.Ruleset) {},
			OnReply: func(_ *wire.SyncRequest, r *wire.SyncReply) {
				if r.Listed {
					line := ""
					for _, l := range r.Targets {
						line += fmt.Sprint(l.Id, l.Leaving, " ")
					}
					got = append(got, line)
				}
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(1100 * time.Millisecond)
		cancel()
		synctest.Wait()
		if want := []string{"xfalse yfalse ", "wfalse ytrue ", "vfalse "}; !slices.Equal(got, want) {
			t.Errorf("got lists %q, want %q", got, want)
		}
		if want := []uint64{0, 3, 3, 5, 9}; len(held) < 5 || !slices.Equal(held[:5], want) {
			t.Errorf("got revisions %v, want %v", held, want)
		}
	})
}
