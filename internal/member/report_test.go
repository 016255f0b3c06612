package member

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

// Two holders that report a peer to each other must both find out when it goes
// silent, and a report that it is alive must not count for ever.
func TestCrossingReports(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, beat := holders(t, &now)
	for _, m := range []*Member{a, b} {
		beat(m, &wire.BeatRequest{Instance: "c1", Zone: "c", Incarnation: 7, Peers: []*wire.Peer{{Name: "c2", Zone: "c", State: Alive, Incarnation: 8}}})
	}
	now = now.Add(2 * time.Second)
	fromA, fromB := a.changedPeers("b1"), b.changedPeers("a1")
	now = now.Add(time.Millisecond) // the reports cross on their way
	beat(a, &wire.BeatRequest{Instance: "b1", Incarnation: 6, Peers: fromB})
	beat(b, &wire.BeatRequest{Instance: "a1", Incarnation: 5, Peers: fromA})
	now = now.Add(2 * time.Second)
	for name, m := range map[string]*Member{"a1": a, "b1": b} {
		if found := m.silent(); len(found) != 1 || found[0].Name != "c1" {
			t.Errorf("%s: got %v silent, want c1", name, found)
		}
	}
	for _, test := range []struct {
		after time.Duration
		want  string
	}{{0, Alive}, {unheardAfter, Suspect}} {
		now = now.Add(test.after)
		for _, p := range a.Peers() {
			if p.Name == "c2" && p.State != test.want {
				t.Errorf("c2 after %v: got %s, want %s", test.after, p.State, test.want)
			}
		}
	}
}

// The former holder of a peer must not take it for silent, and fence it, when a
// partition begins soon after the change.
func TestChangedHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, beat := holders(t, &now)
	beat(a, &wire.BeatRequest{Instance: "c1", Incarnation: 7})
	for range 3 {
		now = now.Add(time.Second)
		beat(b, &wire.BeatRequest{Instance: "c1", Incarnation: 7})
		beat(a, &wire.BeatRequest{Instance: "b1", Incarnation: 6, Peers: b.changedPeers("a1")})
	}
	now = now.Add(time.Minute)
	for _, p := range a.silent() {
		if p.Name == "c1" {
			t.Error("the former holder takes c1 for silent")
		}
	}
}

// holders returns two holders and a function that sends a heartbeat to one.
func holders(t *testing.T, now *time.Time) (a, b *Member, beat func(*Member, *wire.BeatRequest)) {
	start := func(name string) *Member {
		return New(Config{
			Self: &wire.Peer{Name: name, Zone: name}, Holder: true, Now: func() time.Time { return *now },
			Version: func() uint64 { return 1 }, InFlight: func() int { return 0 }, Logger: zap.NewNop(),
		})
	}
	return start("a1"), start("b1"), func(m *Member, r *wire.BeatRequest) {
		t.Helper()
		if _, err := m.Beat(t.Context(), r); err != nil {
			t.Fatal(err)
		}
	}
}
