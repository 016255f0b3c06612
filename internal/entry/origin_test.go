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

// A list of targets that have one version told which version began a stream, however old
// it was. An instance that was cut off during a release joined streams of two versions so.
func TestTraceInSilence(t *testing.T) {
	e := lone()
	r := stressRules(t, 1)
	e.applyRuleset(r)
	e.applyReply(&wire.SyncRequest{}, &wire.SyncReply{Listed: true, Targets: []*wire.Listing{{Id: "t", Born: 1, Pool: "p", Version: "v1"}}})
	if _, version, err := e.Trace(t.Context(), "shop", "1", r.Config().Routes[0], time.Minute); !errors.Is(err, fault.Unavailable) {
		t.Errorf("got %q and %v, want %v", version, err, fault.Unavailable)
	}
}

// An entry instance answers others from its records only: neither its list of targets
// nor that it has no record proves anything.
func TestTraceForOthers(t *testing.T) {
	e := lone()
	e.RecordOrigin("shop", "1", "p", "v1")
	e.applyReply(&wire.SyncRequest{}, &wire.SyncReply{Listed: true, Targets: []*wire.Listing{{Id: "t", Born: 1, Pool: "p", Version: "v1"}}})
	for _, relay := range []bool{false, true} {
		r, err := relayServer{e}.Trace(t.Context(), &wire.TraceRequest{Attempt: tracer.Key("shop", "1"), Pool: "p", Relay: relay})
		if err != nil || !r.Found || !r.Recorded || r.Version != "v1" {
			t.Errorf("with a record, relay %v: got %v and %v, want it", relay, r, err)
		}
		r, err = relayServer{e}.Trace(t.Context(), &wire.TraceRequest{Attempt: tracer.Key("shop", "2"), Pool: "p", Relay: relay})
		if err != nil || r.Found || !errors.Is(r.Fault.Err(), fault.Isolated) || r.Version != "" {
			t.Errorf("without a record, relay %v: got %v and %v, want a fault and no version", relay, r, err)
		}
	}
}
