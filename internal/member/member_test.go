package member

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

var (
	errRefused = errors.New("refused")
	errTimeout = errors.New("timeout")
)

// holder returns a holder h that notes what it fences.
func holder(beat func(name string) error, fenced *[]uint64) *Member {
	return New(Config{
		Self: &wire.Peer{Name: "h", Zone: "a", Address: "h:1"}, Holder: true, Holders: func() []string { return []string{"h"} },
		Beat: func(_ context.Context, name string, q *wire.BeatRequest) (*wire.BeatReply, error) {
			if q.Address != "h:1" {
				return nil, fmt.Errorf("address %q", q.Address)
			}
			return &wire.BeatReply{Version: 7}, beat(name)
		},
		Refused: func(err error) bool { return errors.Is(err, errRefused) },
		Version: func() uint64 { return 1 }, InFlight: func() int { return 0 },
		Fence: func(_ string, incarnation uint64) error {
			*fenced = append(*fenced, incarnation)
			if len(*fenced) == 1 && incarnation == 99 {
				return errors.New("disk")
			}
			return nil
		},
		Logger: zap.NewNop(),
	})
}

// A silent instance that isn't fenced keeps its allowances for good; one that
// is fenced while it answers loses its answers.
func TestSilentPeer(t *testing.T) {
	for _, c := range []struct {
		name        string
		incarnation uint64
		probes      []error // answers in turn, then the last one
		wait        time.Duration
		state       string
		fenced      []uint64
	}{
		{"one heartbeat missed", 5, []error{errRefused}, 1200 * time.Millisecond, Alive, nil},
		{"two missed", 5, []error{errRefused}, 2 * time.Second, Suspect, nil},
		{"dead", 5, []error{errRefused}, 4 * time.Second, Dead, []uint64{5}},
		{"cut off", 5, []error{errTimeout}, 4 * time.Second, Unreachable, []uint64{5}},
		{"answers", 5, []error{nil}, 4 * time.Second, Alive, nil},
		{"answers once, then dies", 5, []error{nil, errRefused}, 9 * time.Second, Dead, []uint64{5}},
		{"fence fails once", 99, []error{errRefused}, 4 * time.Second, Dead, []uint64{99, 99}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var fenced []uint64
				m := holder(func(string) error {
					err := c.probes[0]
					c.probes = c.probes[min(1, len(c.probes)-1):]
					return err
				}, &fenced)
				if _, err := m.Beat(ctx, &wire.BeatRequest{Instance: "x", Incarnation: c.incarnation}); err != nil {
					t.Fatal(err)
				}
				go m.Run(ctx)
				time.Sleep(c.wait)
				synctest.Wait()
				if got := m.Peers()[1].State; got != c.state || !slices.Equal(fenced, c.fenced) {
					t.Errorf("got %s, fenced %v, want %s, fenced %v", got, fenced, c.state, c.fenced)
				}
			})
		})
	}
}

// A heartbeat or a report that arrives late must not bring an older
// incarnation back, and a fenced one must be told.
func TestTakesNewest(t *testing.T) {
	beat := func(incarnation uint64, draining bool) *wire.BeatRequest {
		return &wire.BeatRequest{Instance: "x", Incarnation: incarnation, Draining: draining}
	}
	report := func(incarnation uint64, state string, age time.Duration) *wire.BeatRequest {
		return &wire.BeatRequest{Instance: "h2", Incarnation: 1, Peers: []*wire.Peer{{Name: "x", Incarnation: incarnation, State: state, Seen: int64(age)}}}
	}
	for _, c := range []struct {
		name        string
		requests    []*wire.BeatRequest
		isFenced    bool // last reply
		incarnation uint64
		state       string
		fenced      []uint64
	}{
		{"restart", []*wire.BeatRequest{beat(5, false), beat(6, false)}, false, 6, Alive, nil},
		{"late heartbeat", []*wire.BeatRequest{beat(6, false), beat(5, true)}, false, 6, Alive, nil},
		{"stops as planned", []*wire.BeatRequest{beat(5, false), beat(5, true)}, false, 5, Draining, nil},
		{"found dead elsewhere", []*wire.BeatRequest{beat(5, false), report(5, Dead, -time.Second)}, false, 5, Dead, []uint64{5}},
		{"fenced one goes on", []*wire.BeatRequest{report(5, Unreachable, time.Second), beat(5, false)}, true, 5, Unreachable, []uint64{5}},
		{"fenced one takes a new incarnation", []*wire.BeatRequest{report(5, Unreachable, time.Second), beat(6, false)}, false, 6, Alive, []uint64{5}},
		{"late report of its death", []*wire.BeatRequest{beat(6, false), report(5, Dead, 0)}, false, 6, Alive, nil},
		{"report older than a heartbeat here", []*wire.BeatRequest{beat(5, false), report(5, Dead, time.Minute)}, false, 5, Alive, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var fenced []uint64
			m := holder(nil, &fenced)
			last := false
			for _, q := range c.requests {
				reply, err := m.Beat(t.Context(), q)
				if err != nil {
					t.Fatal(err)
				}
				last = reply.Fenced
			}
			peers := m.Peers()
			x := peers[len(peers)-1]
			if x.Incarnation != c.incarnation || x.State != c.state || last != c.isFenced || !slices.Equal(fenced, c.fenced) {
				t.Errorf("got %s of incarnation %d, told fenced %t, fenced %v, want %s of %d, %t, %v",
					x.State, x.Incarnation, last, fenced, c.state, c.incarnation, c.isFenced, c.fenced)
			}
		})
	}
}

// An instance whose holder is gone must be heard by the next one, and one that
// was fenced must not go on under its old incarnation.
func TestSendsHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var m *Member
		var got []string
		m = New(Config{
			Self: &wire.Peer{Name: "x"}, Holders: func() []string { return []string{"near", "far"} },
			Beat: func(_ context.Context, name string, q *wire.BeatRequest) (*wire.BeatReply, error) {
				got = append(got, fmt.Sprint(name, " ", q.Incarnation == m.Holding().Incarnation, " ", q.Draining))
				if name == "near" && len(got) == 1 {
					return nil, errRefused
				}
				return &wire.BeatReply{Time: time.Now().Add(time.Minute).UnixNano(), Fenced: len(got) == 3}, nil
			},
			Version: func() uint64 { return 1 }, InFlight: func() int { return 0 }, Logger: zap.NewNop(),
		})
		first := m.Holding().Incarnation
		go m.Run(ctx)
		time.Sleep(Interval * 3 / 2)
		m.Drain()
		time.Sleep(Interval)
		cancel()
		synctest.Wait()
		if want := []string{"near true false", "far true false", "near true false", "near true true"}; !slices.Equal(got, want) {
			t.Errorf("heartbeats: got %q, want %q", got, want)
		}
		if m.Holding().Incarnation <= first || m.ClockSkew() != time.Minute {
			t.Errorf("got incarnation %d after %d, skew %v, want a newer one and 1m", m.Holding().Incarnation, first, m.ClockSkew())
		}
	})
}

// Full lists in each heartbeat make the cost of a holder grow with the square
// of the fleet; a change that is left out shows old versions as in force.
func TestChangedPeers(t *testing.T) {
	now := time.Unix(100, 0)
	m := holder(nil, nil)
	m.cfg.Now = func() time.Time { return now }
	beat := func(name string, version uint64) {
		if _, err := m.Beat(t.Context(), &wire.BeatRequest{Instance: name, Incarnation: 1, Version: version}); err != nil {
			t.Fatal(err)
		}
	}
	for _, step := range []struct {
		name    string
		after   time.Duration
		version uint64 // of x; y stays at 1
		want    int
	}{
		{"first", 0, 1, 2},
		{"new here", adoptTime - 1, 1, 2},
		{"nothing new", 1, 1, 0},
		{"new version of one", time.Second, 2, 1},
		{"told already", time.Second, 2, 0},
		{"full again", fullInterval, 2, 2},
	} {
		now = now.Add(step.after)
		beat("x", step.version)
		beat("y", 1)
		if got := m.changedPeers("h2"); len(got) != step.want {
			t.Errorf("%s: got %d peers, want %d", step.name, len(got), step.want)
		}
	}
	now = now.Add(2 * time.Second)
	if got := m.changedPeers("h2"); len(got) != 2 {
		t.Errorf("silent: got %d peers, want 2", len(got))
	}
}
