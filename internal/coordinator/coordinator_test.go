package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/papayapond/papayapond/internal/coordinator"
	"github.com/papayapond/papayapond/internal/detector"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
	"github.com/papayapond/papayapond/pkg/prepaid"
	"github.com/papayapond/papayapond/pkg/route"
)

// log is an in-memory log shared by all instances.
type log struct {
	mu           sync.Mutex
	entries      [][]byte
	leader       string
	term         uint64
	noQuorum     bool
	coordinators map[string]*coordinator.Coordinator
	now          time.Time
}

// newLog returns a log with coordinators a and b, led by a.
func newLog() *log {
	l := &log{leader: "a", term: 1, coordinators: map[string]*coordinator.Coordinator{}, now: time.Unix(1000, 0)}
	for _, name := range []string{"a", "b"} {
		l.coordinators[name] = coordinator.New(coordinator.Config{
			Name: name, Leader: func() string { return l.leader }, Term: func() uint64 { return l.term },
			Instances: func() []string { return []string{"a", "b"} },
			Barrier:   func(context.Context) error { return l.quorum() },
			Propose:   func(_ context.Context, c []byte) (uint64, []byte, error) { return l.propose(name, c) },
			Peer:      func(name string) wire.DRPCSteeringClient { return peer{l.coordinators[name]} },
			Now:       func() time.Time { return l.now },
		})
	}
	return l
}

func (l *log) quorum() error {
	if l.noQuorum {
		return errors.New("no quorum")
	}
	return nil
}

func (l *log) propose(name string, command []byte) (uint64, []byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.quorum(); err != nil {
		return 0, nil, err
	}
	l.entries = append(l.entries, command)
	var result []byte
	for other, c := range l.coordinators {
		if r := c.Apply(uint64(len(l.entries)), command); other == name {
			result = r
		}
	}
	return uint64(len(l.entries)), result, nil
}

// peer calls a coordinator with messages that were encoded and decoded: a message
// that is empty and one that is missing differ for the receiver.
type peer struct{ c *coordinator.Coordinator }

func (p peer) DRPCConn() drpc.Conn { return nil }

// exchange calls serve with a decoded copy of q and returns one of its reply.
func exchange[Q, R proto.Message](ctx context.Context, q Q, serve func(context.Context, Q) (R, error)) (R, error) {
	copied, err := recode(q)
	if err != nil {
		return *new(R), err
	}
	reply, err := serve(ctx, copied)
	if err != nil {
		return reply, err
	}
	return recode(reply)
}

func recode[M proto.Message](m M) (M, error) {
	copied := m.ProtoReflect().New().Interface().(M)
	data, err := proto.Marshal(m)
	if err != nil {
		return copied, err
	}
	return copied, proto.Unmarshal(data, copied)
}

func (p peer) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	return exchange(ctx, q, p.c.Sync)
}

func (p peer) Collect(ctx context.Context, q *wire.BatchRequest) (*wire.BatchReply, error) {
	return exchange(ctx, q, p.c.Collect)
}

func (p peer) Publish(ctx context.Context, q *wire.PublishRequest) (*wire.PublishReply, error) {
	return exchange(ctx, q, p.c.Publish)
}

func (p peer) Newest(ctx context.Context, q *wire.NewestRequest) (*wire.NewestReply, error) {
	return exchange(ctx, q, p.c.Newest)
}

func (p peer) Trace(ctx context.Context, q *wire.TraceRequest) (*wire.TraceReply, error) {
	return exchange(ctx, q, p.c.Trace)
}

// resumable is a route whose streams may be resumed.
var resumable = route.Route{Name: "s", Host: "h", Prefix: "/s/", Kind: route.Stream, Resume: true, Timeout: time.Second, Split: []route.Share{{Pool: "p", Weight: 1}}}

func rules(t *testing.T, version uint64, tokens int64) *ruleset.Ruleset {
	t.Helper()
	r, err := ruleset.New(ruleset.Config{
		Version: version, Pools: []pool.Pool{{Name: "p"}},
		Routes:   []route.Route{{Name: "r", Host: "h", Prefix: "/", Kind: route.Single, Timeout: time.Second, Split: []route.Share{{Pool: "p", Weight: 1}}}, resumable},
		Accounts: []prepaid.Prepaid{prepaid.Prepaid{Name: "shop", Keys: []string{"k"}}.WithTokens(tokens)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The highest version must win in whatever order versions arrive, and different
// content under the version in force must be ignored.
func TestSubmit(t *testing.T) {
	l := newLog()
	for i, version := range []uint64{3, 7, 5, 7, 8} {
		via := l.coordinators[[]string{"a", "b"}[i%2]]
		if err := via.Submit(t.Context(), rules(t, version, 100), fmt.Append(nil, "document ", version, " ", i)); err != nil {
			t.Fatal(err)
		}
		want := []string{"document 3 0", "document 7 1", "document 7 1", "document 7 1", "document 8 4"}[i]
		for name, c := range l.coordinators {
			if _, got, err := c.Read(t.Context()); err != nil || string(got) != want {
				t.Errorf("after version %d, read at %s: got %q and %v, want %q", version, name, got, err, want)
			}
		}
	}
}

// An instance that can't confirm the newest version must not return an older
// one, and nothing may be acknowledged without a quorum.
func TestNoQuorum(t *testing.T) {
	l := newLog()
	if _, _, err := l.coordinators["a"].Read(t.Context()); !errors.Is(err, fault.Unavailable) {
		t.Errorf("read without a ruleset: got %v, want %v", err, fault.Unavailable)
	}
	if err := l.coordinators["a"].Submit(t.Context(), rules(t, 1, 100), nil); err != nil {
		t.Fatal(err)
	}
	l.noQuorum = true
	for name, c := range l.coordinators {
		if _, _, err := c.Read(t.Context()); err == nil {
			t.Errorf("read at %s: got no error", name)
		}
		if err := c.Submit(t.Context(), rules(t, 2, 100), nil); err == nil {
			t.Errorf("submit at %s: got no error", name)
		}
		if err := c.Announce(t.Context(), &wire.Listing{Id: "t", Born: 1, Address: "x", Leaving: true}); err == nil {
			t.Errorf("announce at %s: got no error", name)
		}
	}
	l.leader = ""
	if err := l.coordinators["b"].Submit(t.Context(), rules(t, 2, 100), nil); !errors.Is(err, fault.Isolated) {
		t.Errorf("without a leader: got %v, want %v", err, fault.Isolated)
	}
}

// An entry instance must get only what it doesn't hold yet, and a restored
// instance must answer the same.
func TestSync(t *testing.T) {
	l := newLog()
	a := l.coordinators["a"]
	if err := a.Submit(t.Context(), rules(t, 4, 1000), nil); err != nil {
		t.Fatal(err)
	}
	if err := l.coordinators["b"].Announce(t.Context(), &wire.Listing{Id: "t", Born: 1, Sequence: 1, Pool: "p", Address: "x"}); err != nil {
		t.Fatal(err)
	}
	q := &wire.SyncRequest{Instance: "e#1", Sequence: 1, Allowances: []*wire.Allowance{{Account: "shop", Want: 100, Need: 100, Lock: 40}}}
	r, err := a.Sync(t.Context(), q)
	if err != nil || r.Fault.Err() != nil || len(r.Ruleset) == 0 || len(r.Targets) != 1 || r.Limits[0].Limit != 100 || r.Limits[0].Lock != 40 || r.Limits[0].Free != 900 {
		t.Fatalf("got %v and %v", r, err)
	}
	q = &wire.SyncRequest{Instance: "e#1", Sequence: 2, Version: r.Version, Roster: r.Roster, Allowances: []*wire.Allowance{{Account: "shop", Limit: 100}}}
	if r, err = a.Sync(t.Context(), q); err != nil || len(r.Ruleset) > 0 || r.Listed {
		t.Errorf("nothing new: got %v and %v", r, err)
	}
	if r, err := l.coordinators["b"].Sync(t.Context(), q); err != nil || !errors.Is(r.Fault.Err(), fault.Conflict) || r.Leader != "a" {
		t.Errorf("the same call at a follower: got %v and %v, want %v and the leader's name", r, err, fault.Conflict)
	}
	q = &wire.SyncRequest{Instance: "e#1", Sequence: 3, Allowances: []*wire.Allowance{{Account: "shop", Limit: 100, Lock: 40}}}
	if r, err := l.coordinators["b"].Sync(t.Context(), q); err != nil || r.Fault.Err() != nil || len(r.Ruleset) == 0 || len(r.Targets) != 1 || r.Limits[0].Limit != 100 {
		t.Errorf("another call at a follower: got %v and %v, want what the leader would tell", r, err)
	}
	l.leader = ""
	q = &wire.SyncRequest{Instance: "e#1", Sequence: 4}
	if r, err := l.coordinators["b"].Sync(t.Context(), q); err != nil || !errors.Is(r.Fault.Err(), fault.Isolated) {
		t.Errorf("at a follower without a leader: got %v and %v, want %v", r, err, fault.Isolated)
	}
	snapshot := a.Snapshot()
	if err := l.coordinators["b"].Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	l.leader, l.term = "b", 2
	q = &wire.SyncRequest{Instance: "e#1", Sequence: 5, Allowances: []*wire.Allowance{{Account: "shop", Limit: 100, Want: 2000, Need: 2000}}}
	if r, err := l.coordinators["b"].Sync(t.Context(), q); err != nil || r.Version != 4 || len(r.Targets) != 1 || r.Limits[0].Limit != 1000 {
		t.Errorf("after a snapshot: got %v and %v", r, err)
	}
}

// A request that crashes three targets must be blocked everywhere, also after a
// change of the leader. A request whose connections to a single target broke must
// not be.
func TestCrashingRequestBlocked(t *testing.T) {
	l := newLog()
	now := func() time.Time { return l.now }
	entries := map[string]*detector.Detector{}
	sessions := map[string]*detector.Session{}
	for _, name := range []string{"e1", "e2", "e3", "other"} {
		entries[name] = detector.New(detector.Config{Now: now})
		sessions[name] = entries[name].NewSession()
	}
	sequence := uint64(0)
	sync := func(name, leader string) {
		t.Helper()
		sequence++
		q := &wire.SyncRequest{Instance: name + "#1", Sequence: sequence, Evidence: sessions[name].Request()}
		r, err := l.coordinators[leader].Sync(t.Context(), q)
		if err != nil || r.Fault.Err() != nil {
			t.Fatalf("got %v and %v", r, err)
		}
		sessions[name].Apply(q.Evidence, r.Evidence)
	}
	isBlocked := func(name, digest string) bool {
		return entries[name].Blocked(detector.Content{Digest: digest}) != nil
	}
	for _, step := range []struct {
		entry, digest, target string
		want                  bool
	}{{"e1", "poison", "t1", false}, {"e2", "poison", "t2", false}, {"e1", "sound", "t3", false}, {"e2", "sound", "t3", false}, {"e3", "sound", "t3", false}, {"e3", "poison", "t3", true}} {
		l.now = l.now.Add(time.Second)
		entries[step.entry].RecordCrash(step.target, detector.Content{Digest: step.digest}, false)
		sync(step.entry, "a")
		sync("other", "a")
		if got := isBlocked("other", step.digest); got != step.want {
			t.Errorf("%s at %s: got blocked %v, want %v", step.digest, step.target, got, step.want)
		}
	}
	l.leader, l.term = "b", 2
	entries["new"] = detector.New(detector.Config{Now: now})
	sessions["new"] = entries["new"].NewSession()
	for _, name := range []string{"other", "other", "new"} {
		sync(name, "b")
	}
	if !isBlocked("new", "poison") || isBlocked("new", "sound") {
		t.Errorf("after a change of the leader: got blocked %v and %v, want only the crashing request", isBlocked("new", "poison"), isBlocked("new", "sound"))
	}
}
