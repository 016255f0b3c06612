package coordinator_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/coordinator"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
)

// entryTracer is the tracer of an entry instance that calls the leader.
type entryTracer struct {
	*tracer.Tracer
	name     string
	sequence uint64
}

func (e *entryTracer) sync(t *testing.T, c *coordinator.Coordinator) *wire.SyncReply {
	t.Helper()
	e.sequence++
	q := &wire.SyncRequest{Instance: e.name, Sequence: e.sequence, Origins: e.Unsent()}
	r, err := c.Sync(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}
	if r.Fault.Err() == nil {
		e.Acknowledge(q.Origins)
	}
	return r
}

// trace asks an instance for a stream that may have begun in the last minute.
func trace(t *testing.T, c *coordinator.Coordinator, key uint64) *wire.TraceReply {
	t.Helper()
	r, err := c.Trace(t.Context(), &wire.TraceRequest{Attempt: key, Pool: "p", Route: resumable.Base(), Routing: rules(t, 1, 1).Routing(resumable), Window: 60000})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// begun prepares a pool with two versions, so that only records tell, and one record of
// an entry instance.
func begun(t *testing.T) (*log, *entryTracer) {
	t.Helper()
	l := newLog()
	if err := l.coordinators["a"].Submit(t.Context(), rules(t, 1, 100), nil); err != nil {
		t.Fatal(err)
	}
	for i, version := range []string{"v1", "v2"} {
		if err := l.coordinators["a"].Announce(t.Context(), &wire.Listing{Id: version, Born: 1, Pool: "p", Address: fmt.Sprint(i), Version: version}); err != nil {
			t.Fatal(err)
		}
	}
	e := &entryTracer{Tracer: tracer.New(tracer.Config{}), name: "e#1"}
	e.Record(1, "p", "v1")
	if r := e.sync(t, l.coordinators["a"]); r.Fault.Err() != nil {
		t.Fatal(r.Fault.Err())
	}
	return l, e
}

func wantVersion(t *testing.T, when string, r *wire.TraceReply, version string) {
	t.Helper()
	if r.Fault.Err() != nil || !r.Found || !r.Recorded || r.Pool != "p" || r.Version != version {
		t.Errorf("%s: got %v, want a record of %s", when, r, version)
	}
}

// All entry instances may be killed at once. What they have told must be known to each
// core instance, without a quorum, under another leader and after restarts.
func TestRecordsSurvive(t *testing.T) {
	l, _ := begun(t)
	for name, c := range l.coordinators {
		wantVersion(t, "at "+name, trace(t, c, 1), "v1")
	}
	l.noQuorum = true
	wantVersion(t, "without a quorum", trace(t, l.coordinators["b"], 1), "v1")
	l.noQuorum = false
	l.leader, l.term = "b", 2
	wantVersion(t, "under another leader", trace(t, l.coordinators["b"], 1), "v1")

	snapshot, applied := l.coordinators["b"].Snapshot(), len(l.entries)
	late := &entryTracer{Tracer: tracer.New(tracer.Config{}), name: "e#2"}
	late.Record(2, "p", "v2")
	if r := late.sync(t, l.coordinators["b"]); r.Fault.Err() != nil {
		t.Fatal(r.Fault.Err())
	}
	restarted := coordinator.New(coordinator.Config{Name: "c", Leader: func() string { return "b" }, Now: func() time.Time { return l.now }})
	if err := restarted.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	for i, command := range l.entries[applied:] {
		restarted.Apply(uint64(applied+i+1), command)
	}
	wantVersion(t, "after a restart, from the snapshot", trace(t, restarted, 1), "v1")
	wantVersion(t, "after a restart, from the log", trace(t, restarted, 2), "v2")
	l.now = l.now.Add(70 * time.Second)
	if r := trace(t, restarted, 1); r.Found {
		t.Errorf("after 70 s: got %v, want the record dropped", r)
	}
}

// A call that fails must leave its records to the next one.
func TestRecordsOfLostCall(t *testing.T) {
	l, e := begun(t)
	e.Record(2, "p", "v2")
	l.noQuorum = true
	if r := e.sync(t, l.coordinators["a"]); r.Fault.Err() == nil {
		t.Fatal("without a quorum: got no fault")
	}
	l.noQuorum = false
	if r := trace(t, l.coordinators["a"], 2); r.Found || r.Fault.Err() != nil {
		t.Errorf("before the next call: got %v, want that there is no record", r)
	}
	if r := e.sync(t, l.coordinators["a"]); r.Fault.Err() != nil {
		t.Fatal(r.Fault.Err())
	}
	wantVersion(t, "after the next call", trace(t, l.coordinators["b"], 2), "v2")
}

// Only the leader may tell that there is no record: another instance, or a leader that
// can't confirm that it still leads, may lack the newest ones.
func TestNoRecord(t *testing.T) {
	l, _ := begun(t)
	if r := trace(t, l.coordinators["a"], 7); r.Fault.Err() != nil || r.Found {
		t.Errorf("at the leader: got %v, want that there is no record", r)
	}
	if r := trace(t, l.coordinators["b"], 7); !errors.Is(r.Fault.Err(), fault.Isolated) || r.Leader != "a" || r.Found {
		t.Errorf("at a follower: got %v, want a fault and the leader's name", r)
	}
	l.noQuorum = true
	if r := trace(t, l.coordinators["a"], 7); !errors.Is(r.Fault.Err(), fault.Isolated) || r.Found {
		t.Errorf("without a quorum: got %v, want a fault", r)
	}
}

// While a pool has had one version only, the leader must tell it without a record, also
// one that has just been elected. As soon as another version is listed, and for a while
// after its last target, it mustn't.
func TestOnlyVersion(t *testing.T) {
	l := newLog()
	if err := l.coordinators["a"].Submit(t.Context(), rules(t, 1, 100), nil); err != nil {
		t.Fatal(err)
	}
	announce := func(id, version string, gone bool) {
		t.Helper()
		if err := l.coordinators["a"].Announce(t.Context(), &wire.Listing{Id: id, Born: 1, Sequence: 1, Pool: "p", Address: id, Version: version, Gone: gone}); err != nil {
			t.Fatal(err)
		}
	}
	want := func(when, version string) {
		t.Helper()
		r := trace(t, l.coordinators[l.leader], 7)
		if r.Fault.Err() != nil || r.Found != (version != "") || r.Recorded || r.Version != version {
			t.Errorf("%s: got %v, want version %q and no record", when, r, version)
		}
	}
	want("without targets", "")
	announce("t1", "v1", false)
	want("one version", "v1")
	l.leader, l.term = "b", 2
	want("another leader", "v1")
	announce("t2", "v2", false)
	want("two versions", "")
	announce("t1", "", true)
	want("the first one has left", "")
	if err := l.coordinators["a"].Restore(l.coordinators["b"].Snapshot()); err != nil {
		t.Fatal(err)
	}
	l.leader, l.term = "a", 3
	want("the first one has left, after a restart", "")
	l.now = l.now.Add(11 * time.Minute)
	want("11 min later", "v2")
	announce("t3", "v3", false)
	announce("t3", "", true)
	want("a target came and left between two calls", "")
	l.now = l.now.Add(11 * time.Minute)
	want("11 min later again", "v2")
	submitRoutes(t, l, 2, "/other/")
	want("after a change of the routes", "")
}

// A change of the routes must count also if it was changed back before the next look-up.
func TestRoutesChangedBack(t *testing.T) {
	l := newLog()
	a := l.coordinators["a"]
	submitRoutes(t, l, 1, "/s/")
	if err := a.Announce(t.Context(), &wire.Listing{Id: "t", Born: 1, Pool: "p", Address: "t", Version: "v1"}); err != nil {
		t.Fatal(err)
	}
	want := func(when, version string) {
		t.Helper()
		if r := trace(t, a, 7); r.Fault.Err() != nil || r.Found != (version != "") || r.Recorded || r.Version != version {
			t.Errorf("%s: got %v, want version %q and no record", when, r, version)
		}
	}
	want("first look-up", "v1")
	submitRoutes(t, l, 2, "/other/")
	submitRoutes(t, l, 3, "/s/")
	want("after the routes were changed and changed back", "")
	l.now = l.now.Add(11 * time.Minute)
	want("11 min later", "v1")
}

// An older build neither reads the records nor writes a history. Its snapshot and its
// log entries must be readable, and mustn't be taken for proof that there was only one
// version.
func TestOlderBuild(t *testing.T) {
	l, _ := begun(t)
	s := &wire.CoreState{}
	if err := proto.Unmarshal(l.coordinators["a"].Snapshot(), s); err != nil {
		t.Fatal(err)
	}
	s.Origins, s.History = nil, nil
	s.Targets = s.Targets[:1]
	data, err := proto.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.coordinators["a"].Restore(data); err != nil {
		t.Fatal(err)
	}
	if r := trace(t, l.coordinators["a"], 7); r.Fault.Err() != nil || r.Found {
		t.Errorf("after the snapshot of an older build: got %v, want nothing known", r)
	}
	l.now = l.now.Add(11 * time.Minute)
	if r := trace(t, l.coordinators["a"], 7); !r.Found || r.Recorded || r.Version != "v1" {
		t.Errorf("11 min later: got %v, want v1", r)
	}
}

// submitRoutes puts a ruleset with a prefix in force.
func submitRoutes(t *testing.T, l *log, version uint64, prefix string) {
	t.Helper()
	cfg := rules(t, version, 100).Config()
	cfg.Routes[1].Prefix = prefix
	r, err := ruleset.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.coordinators[l.leader].Submit(t.Context(), r, nil); err != nil {
		t.Fatal(err)
	}
}
