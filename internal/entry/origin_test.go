package entry

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/route"
)

// lone returns an entry instance that reaches no other instance.
func lone() *Entry {
	return New(Config{Name: "e1", Zone: "z", PeerAddress: "127.0.0.1:2", Seeds: func() []string { return nil }, Logger: zap.NewNop()})
}

// A record must go with each call to the leader until one is answered: the instance may
// be killed with it.
func TestOriginsSent(t *testing.T) {
	e := lone()
	e.RecordOrigin("shop", "1", "p", "v1")
	lost := e.tracer.Unsent()
	if len(lost) != 1 || len(lost[0].Attempts) != 1 || lost[0].Attempts[0] != tracer.Key("shop", "1") {
		t.Fatalf("got %v, want the record", lost)
	}
	e.RecordOrigin("shop", "2", "p", "v1")
	q := &wire.SyncRequest{Origins: e.tracer.Unsent()}
	if len(q.Origins) != 1 || len(q.Origins[0].Attempts) != 2 {
		t.Errorf("after a lost call: got %v, want both records", q.Origins)
	}
	e.applyReply(q, &wire.SyncReply{})
	if got := e.tracer.Unsent(); got != nil {
		t.Errorf("after an answer: got %v, want nothing", got)
	}
	if pool, version, err := e.Trace(t.Context(), "shop", "2", route.Route{}, time.Minute); err != nil || pool != "p" || version != "v1" {
		t.Errorf("own record: got %q, %q and %v, want p and v1", pool, version, err)
	}
}

// While the core instances are silent, a stream of a pool that has had one version may
// go on, and one of a pool with two versions may not.
func TestTraceFromHistory(t *testing.T) {
	e := lone()
	r := stressRules(t, 1)
	e.applyRuleset(r)
	find := func() (string, error) {
		_, version, err := e.Trace(t.Context(), "shop", "1", r.Config().Routes[0], time.Minute)
		return version, err
	}
	if version, err := find(); !errors.Is(err, fault.Unavailable) {
		t.Errorf("before the first reply: got %q and %v, want %v", version, err, fault.Unavailable)
	}
	history := &wire.History{
		Covered: time.Hour.Milliseconds(), Versions: []*wire.Spell{{Name: "p", Value: "v1"}}, Routings: []*wire.Spell{{Name: r.Config().Routes[0].Base(), Value: r.Routing(r.Config().Routes[0])}},
	}
	e.applyReply(&wire.SyncRequest{}, &wire.SyncReply{Listed: true, History: history})
	if version, err := find(); err != nil || version != "v1" {
		t.Errorf("one version: got %q and %v, want v1", version, err)
	}
	e.applyReply(&wire.SyncRequest{}, &wire.SyncReply{Listed: true})
	if version, err := find(); !errors.Is(err, fault.Unavailable) {
		t.Errorf("after a reply of an older build: got %q and %v, want %v", version, err, fault.Unavailable)
	}
	history.Versions = append(history.Versions, &wire.Spell{Name: "p", Value: "v0", Age: 1000})
	e.applyReply(&wire.SyncRequest{}, &wire.SyncReply{Listed: true, History: history})
	if version, err := find(); !errors.Is(err, fault.Unavailable) {
		t.Errorf("two versions in the window: got %q and %v, want %v", version, err, fault.Unavailable)
	}
}

// An entry instance answers others from its records, and otherwise tells only which
// versions it knows of: that it has no record proves nothing.
func TestTraceForOthers(t *testing.T) {
	e := lone()
	e.RecordOrigin("shop", "1", "p", "v1")
	e.applyReply(&wire.SyncRequest{}, &wire.SyncReply{Listed: true, History: &wire.History{Versions: []*wire.Spell{{Name: "p", Value: "v1"}, {Name: "p", Value: "v2"}}}})
	for _, relay := range []bool{false, true} {
		r, err := relayServer{e}.Trace(t.Context(), &wire.TraceRequest{Attempt: tracer.Key("shop", "1"), Pool: "p", Relay: relay})
		if err != nil || !r.Found || !r.Recorded || r.Version != "v1" {
			t.Errorf("with a record, relay %v: got %v and %v, want it", relay, r, err)
		}
		r, err = relayServer{e}.Trace(t.Context(), &wire.TraceRequest{Attempt: tracer.Key("shop", "2"), Pool: "p", Relay: relay})
		if err != nil || r.Found || !errors.Is(r.Fault.Err(), fault.Isolated) || len(r.Versions) != 2 {
			t.Errorf("without a record, relay %v: got %v and %v, want a fault and both versions", relay, r, err)
		}
	}
}
