package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/papayapond/papayapond/internal/detector"
	"github.com/papayapond/papayapond/internal/gossiper"
	"github.com/papayapond/papayapond/internal/wire"
)

// fleet connects gossipers without a network.
type fleet struct {
	now       time.Time
	gossipers map[string]*gossiper.Gossiper
	running   map[string]int32 // requests of the instance itself, by address
	others    map[string]int32 // requests of all others, by address
	down      map[string]bool
	detectors map[string]*detector.Detector
}

type client struct {
	f       *fleet
	address string
}

func (client) DRPCConn() drpc.Conn { return nil }

func (c client) Report(ctx context.Context, q *wire.ReportRequest) (*wire.ReportReply, error) {
	if c.f.down[c.address] {
		return nil, errors.New("no answer")
	}
	return c.f.gossipers[c.address].Report(ctx, q)
}

// newFleet returns n instances in three zones.
func newFleet(n int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), gossipers: map[string]*gossiper.Gossiper{}, running: map[string]int32{}, others: map[string]int32{}, down: map[string]bool{},
		detectors: map[string]*detector.Detector{},
	}
	var members []*wire.Member
	for i := range n {
		members = append(members, &wire.Member{Address: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3)})
	}
	for _, m := range members {
		f.running[m.Address] = 1
		f.detectors[m.Address] = detector.New(detector.Config{Now: func() time.Time { return f.now }})
		f.gossipers[m.Address] = gossiper.New(gossiper.Config{
			Self: m.Address, Zone: m.Zone, Now: func() time.Time { return f.now }, Detector: f.detectors[m.Address],
			Peer:  func(address string) wire.DRPCGossipClient { return client{f, address} },
			Loads: func() []*wire.Load { return []*wire.Load{{Target: "a", Running: f.running[m.Address]}} },
			UpdateLoads: func(loads []*wire.Load) {
				f.others[m.Address] = 0
				for _, l := range loads {
					f.others[m.Address] += l.Running
				}
			},
		})
		f.gossipers[m.Address].Update(members)
	}
	return f
}

func (f *fleet) rounds(t *testing.T, n int) {
	t.Helper()
	for range n {
		f.now = f.now.Add(400 * time.Millisecond)
		for address, g := range f.gossipers {
			if !f.down[address] {
				g.Round(t.Context())
			}
		}
	}
}

// Each instance must learn the load of all others, counted once, without a core
// instance.
func TestLoadsOfOthers(t *testing.T) {
	f := newFleet(30)
	f.rounds(t, 3)
	for address, got := range f.others {
		if want := int32(29); got != want {
			t.Errorf("%s: got %d requests of others, want %d", address, got, want)
		}
	}
}

// A look-up asks only some instances of other zones. It must not ask those of one zone
// only.
func TestRemote(t *testing.T) {
	g := gossiper.New(gossiper.Config{Self: "a1", Zone: "a"})
	g.Update([]*wire.Member{{Address: "a1", Zone: "a"}, {Address: "a2", Zone: "a"}, {Address: "b1", Zone: "b"}, {Address: "b2", Zone: "b"}, {Address: "c1", Zone: "c"}})
	got := g.Remote()
	if len(got) != 3 || got[0][0] != 'b' || got[1] != "c1" || got[2][0] != 'b' || got[0] == got[2] {
		t.Errorf("got %v, want one of zone b, c1 and the other one of zone b", got)
	}
}

// The load of an unreachable instance must expire, and losing a hub must not
// stop the reports of its zone.
func TestUnreachableHub(t *testing.T) {
	f := newFleet(30)
	f.rounds(t, 3)
	const unreachable = "e0"
	f.down[unreachable] = true
	f.rounds(t, 8)
	for address, got := range f.others {
		// The hub of a zone is counted twice if its failure isn't detected.
		if want := int32(28); address != unreachable && got != want {
			t.Errorf("without %s, %s: got %d requests of others, want %d", unreachable, address, got, want)
		}
	}
	for i := range 30 {
		f := newFleet(30)
		down := fmt.Sprint("e", i)
		f.down[down] = true
		f.rounds(t, 8)
		for address, got := range f.others {
			if got < 9 {
				t.Errorf("without %s, %s: got %d requests of others, want at least 9, those of its zone", down, address, got)
			}
		}
	}
}

// While the core instances are silent, crashes that instances of different zones
// see must add up at all instances: nothing else tells them of a deadly content.
func TestEvidence(t *testing.T) {
	f := newFleet(9)
	bad := detector.Content{Parts: []string{"bad"}}
	for i := range 3 {
		bad.Digest = fmt.Sprint("d", i)
		f.detectors[fmt.Sprint("e", i)].RecordCrash(fmt.Sprint("t", i), bad, true)
		f.now = f.now.Add(100 * time.Millisecond)
	}
	for range 4 {
		for _, g := range f.gossipers {
			g.Round(t.Context())
		}
		f.now = f.now.Add(400 * time.Millisecond)
	}
	for name, d := range f.detectors {
		if d.Blocked(detector.Content{Parts: []string{"bad"}, Digest: "d9"}) == nil {
			t.Errorf("%s passes the part, want it refused", name)
		}
		if got := d.Blocked(detector.Content{Parts: []string{"other"}, Digest: "d8"}); got != nil {
			t.Errorf("%s refuses another part for %v, want it passed", name, got)
		}
	}
}
