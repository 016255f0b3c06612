package registry

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/wire"
)

func newTarget(name, zone, state string, incarnation uint64) *wire.Target {
	return &wire.Target{Name: name, Zone: zone, State: state, Incarnation: incarnation, Models: []string{"m"}}
}

func describe(targets []*wire.Target) string {
	s := ""
	for _, t := range targets {
		s += t.Name + ":" + t.State + " "
	}
	return s
}

// A late "ready" from the same incarnation must not make a leaving target ready
// again, and a late "leaving" from an older incarnation must not take its
// successor out of service.
func TestAnnounceOrder(t *testing.T) {
	for _, test := range []struct {
		name string
		seen []*wire.Target
		want string
	}{
		{"ready", []*wire.Target{newTarget("e", "a", Ready, 1)}, "e:ready "},
		{"leaving", []*wire.Target{newTarget("e", "a", Ready, 1), newTarget("e", "a", Leaving, 1)}, ""},
		{"late ready", []*wire.Target{newTarget("e", "a", Leaving, 1), newTarget("e", "a", Ready, 1)}, ""},
		{"restarted", []*wire.Target{newTarget("e", "a", Leaving, 1), newTarget("e", "a", Ready, 2)}, "e:ready "},
		{"late leaving", []*wire.Target{newTarget("e", "a", Ready, 2), newTarget("e", "a", Leaving, 1)}, "e:ready "},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(Config{})
			for _, a := range test.seen {
				r.Announce(a)
			}
			if got := describe(r.Ready("a", "m", "")); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Watchers of a zone must learn that a target announces itself from there now, or it
// stays unknown in its zone.
func TestZoneChanges(t *testing.T) {
	r := New(Config{})
	r.Announce(newTarget("e", "a", Ready, 1))
	_, seq, changed := r.ChangesSince("b", 0)
	r.Announce(newTarget("e", "b", Ready, 1))
	select {
	case <-changed:
	default:
		t.Error("watchers weren't told of the change")
	}
	targets, _, _ := r.ChangesSince("b", seq)
	if got, want := describe(targets), "e:ready "; got != want {
		t.Errorf("got changes %q, want %q", got, want)
	}
}

// Watchers must learn that a target stopped announcing itself, or the zone keeps
// sending requests to it.
func TestExpiry(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(Config{Now: func() time.Time { return now }})
	r.Announce(newTarget("e", "a", Ready, 1))
	_, seq, _ := r.ChangesSince("a", 0)
	now = now.Add(TTL)
	if got := describe(r.Ready("a", "", "")); got != "" {
		t.Errorf("ready after TTL: got %q, want none", got)
	}
	changed, _, _ := r.ChangesSince("a", seq)
	if got, want := describe(changed), "e:gone "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// The full list of a holder must remove targets that aren't in it, but not those
// that announce themselves directly.
func TestReplaceRelayed(t *testing.T) {
	r := New(Config{})
	r.ApplyRelayed(newTarget("old", "a", Ready, 1))
	r.ApplyRelayed(newTarget("other", "b", Ready, 1))
	r.Announce(newTarget("direct", "a", Ready, 1))
	r.ReplaceRelayed("a", []*wire.Target{newTarget("new", "a", Ready, 1)})
	if got, want := describe(r.Ready("", "", "")), "direct:ready new:ready other:ready "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A target that a holder removed and relays again must be ready again, or a zone
// has no targets after a restart of its holder.
func TestRelayedAgainAfterRemoval(t *testing.T) {
	r := New(Config{})
	r.ApplyRelayed(newTarget("e", "a", Ready, 1))
	r.ReplaceRelayed("a", nil)
	r.ApplyRelayed(newTarget("e", "a", Ready, 1))
	if got, want := describe(r.Ready("a", "", "")), "e:ready "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A target that announced itself directly once, and to other instances after
// that, must stay ready as long as the holder relays it. Otherwise an instance
// loses its targets behind a load balancer that spreads the announcements.
func TestRelayedOutlivesTTL(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(Config{Now: func() time.Time { return now }})
	r.Announce(newTarget("e", "a", Ready, 1))
	r.ApplyRelayed(newTarget("e", "a", Ready, 1))
	now = now.Add(TTL)
	if got, want := describe(r.Ready("a", "m", "")), "e:ready "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	r.ApplyRelayed(newTarget("e", "a", Gone, 1))
	if got := describe(r.Ready("a", "m", "")); got != "" {
		t.Errorf("after the target is gone: got %q, want none", got)
	}
}

// If a list misses a change, requests go to a target that is gone or never reach
// a new one. A list that changes after Ready returned it is a data race in the
// router.
func TestReadyMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		r := New(Config{Now: func() time.Time { return now }})
		var lists, copies [][]*wire.Target
		drawTarget := func(t *rapid.T) *wire.Target {
			a := newTarget(strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "name")), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				rapid.SampledFrom([]string{Ready, Ready, Leaving, Gone}).Draw(t, "state"), uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")))
			a.Models = rapid.SliceOfN(rapid.SampledFrom([]string{"m", "n"}), 0, 2).Draw(t, "models")
			a.Services = rapid.SliceOfN(rapid.SampledFrom([]string{"s"}), 0, 1).Draw(t, "services")
			return a
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) { r.Announce(drawTarget(t)) },
			"pass":     func(t *rapid.T) { r.ApplyRelayed(drawTarget(t)) },
			"replace":  func(t *rapid.T) { r.ReplaceRelayed("a", []*wire.Target{drawTarget(t)}) },
			"since":    func(*rapid.T) { r.ChangesSince("", 0) },
			"wait":     func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for _, k := range []key{{}, {zone: "a"}, {model: "m"}, {zone: "b", model: "n"}, {zone: "a", service: "s"}} {
					got := r.Ready(k.zone, k.model, k.service)
					want := slices.DeleteFunc(r.Live(), func(t *wire.Target) bool { return !k.matches(t) })
					if !slices.Equal(got, want) {
						t.Fatalf("%v: got %s, want %s", k, describe(got), describe(want))
					}
					lists, copies = append(lists, got), append(copies, slices.Clone(got))
				}
			},
		})
		for i := range lists {
			if !slices.Equal(lists[i], copies[i]) {
				t.Fatalf("returned list changed from %s to %s", describe(copies[i]), describe(lists[i]))
			}
		}
	})
}

// matches reports whether a target belongs to the list of a key.
func (k key) matches(t *wire.Target) bool {
	return t.State == Ready && (k.zone == "" || k.zone == t.Zone) &&
		(k.model == "" || slices.Contains(t.Models, k.model)) && (k.service == "" || slices.Contains(t.Services, k.service))
}

// A target that announced itself directly until its entry instance switched to
// another holder must stay exactly as long as the holder of its zone lists it.
func TestRelayedUntilRemoved(t *testing.T) {
	for name, end := range map[string]func(r *Registry){
		"gone":     func(r *Registry) { r.ApplyRelayed(newTarget("e", "a", Gone, 1)) },
		"replaced": func(r *Registry) { r.ReplaceRelayed("a", nil) },
	} {
		now := time.Unix(0, 0)
		r := New(Config{Now: func() time.Time { return now }})
		r.ApplyRelayed(newTarget("e", "a", Ready, 1))
		r.Announce(newTarget("e", "a", Ready, 1))
		now = now.Add(2 * TTL)
		if changed, _, _ := r.ChangesSince("", 0); describe(changed) != "e:ready " {
			t.Errorf("%s: while relayed: got %q, want it ready", name, describe(changed))
		}
		end(r)
		if got := describe(r.Live()); got != "" {
			t.Errorf("%s: got %q, want none", name, got)
		}
	}
}

// A holder that got targets from another one while it started must not keep a
// crashed target forever, but must keep one that announces itself.
func TestExpireRelayed(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(Config{Now: func() time.Time { return now }})
	for _, name := range []string{"dead", "alive"} {
		r.Announce(newTarget(name, "a", Ready, 1))
		r.ApplyRelayed(newTarget(name, "a", Ready, 1))
	}
	r.ApplyRelayed(newTarget("other", "b", Ready, 1))
	r.ExpireRelayed("a")
	for _, want := range []string{"alive:ready dead:ready other:ready ", "alive:ready other:ready "} {
		now = now.Add(relayedGrace - TTL/2)
		r.Announce(newTarget("alive", "a", Ready, 1))
		if got := describe(r.Live()); got != want {
			t.Errorf("after %v: got %q, want %q", now.Sub(time.Unix(0, 0)), got, want)
		}
	}
}
