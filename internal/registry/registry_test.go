package registry

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/wire"
)

func target(name, zone, state string, incarnation uint64) *wire.Target {
	return &wire.Target{Name: name, Zone: zone, State: state, Incarnation: incarnation, Models: []string{"m"}}
}

func names(targets []*wire.Target) string {
	s := ""
	for _, t := range targets {
		s += t.Name + ":" + t.State + " "
	}
	return s
}

// A late "ready" of the same incarnation must not bring a leaving target back
// into service, and a late "leaving" of an older one must not stop its
// successor.
func TestAnnounceOrder(t *testing.T) {
	for _, test := range []struct {
		name string
		seen []*wire.Target
		want string
	}{
		{"ready", []*wire.Target{target("e", "a", Ready, 1)}, "e:ready "},
		{"leaving", []*wire.Target{target("e", "a", Ready, 1), target("e", "a", Leaving, 1)}, ""},
		{"late ready", []*wire.Target{target("e", "a", Leaving, 1), target("e", "a", Ready, 1)}, ""},
		{"restarted", []*wire.Target{target("e", "a", Leaving, 1), target("e", "a", Ready, 2)}, "e:ready "},
		{"late leaving", []*wire.Target{target("e", "a", Ready, 2), target("e", "a", Leaving, 1)}, "e:ready "},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(Config{})
			for _, a := range test.seen {
				r.Announce(a)
			}
			if got := names(r.Ready("a", "m", "")); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// A target that stops announcing itself must be reported to watchers, else
// the zone goes on sending to it.
func TestExpiry(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(Config{Now: func() time.Time { return now }})
	r.Announce(target("e", "a", Ready, 1))
	_, seq, _ := r.ChangesSince("a", 0)
	now = now.Add(TTL)
	if got := names(r.Ready("a", "", "")); got != "" {
		t.Errorf("ready after TTL: got %q, want none", got)
	}
	changed, _, _ := r.ChangesSince("a", seq)
	if got, want := names(changed), "e:gone "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// The full list of a holder must remove what it lacks, but not a target that
// announces itself here.
func TestReplace(t *testing.T) {
	r := New(Config{})
	r.ApplyRelayed(target("old", "a", Ready, 1))
	r.ApplyRelayed(target("other", "b", Ready, 1))
	r.Announce(target("direct", "a", Ready, 1))
	r.ReplaceRelayed("a", []*wire.Target{target("new", "a", Ready, 1)})
	if got, want := names(r.Ready("", "", "")), "direct:ready new:ready other:ready "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A target that a holder removed and passes on again must be ready again, else
// a zone stays without targets after its holder was restarted.
func TestReturn(t *testing.T) {
	r := New(Config{})
	r.ApplyRelayed(target("e", "a", Ready, 1))
	r.ReplaceRelayed("a", nil)
	r.ApplyRelayed(target("e", "a", Ready, 1))
	if got, want := names(r.Ready("a", "", "")), "e:ready "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A target that announced itself here once and reaches the holder through
// other instances since must stay ready, else an instance loses its targets
// behind a balancer that spreads the announcements.
func TestPassed(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(Config{Now: func() time.Time { return now }})
	r.Announce(target("e", "a", Ready, 1))
	r.ApplyRelayed(target("e", "a", Ready, 1))
	now = now.Add(TTL)
	if got, want := names(r.Ready("a", "m", "")), "e:ready "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	r.ApplyRelayed(target("e", "a", Gone, 1))
	if got := names(r.Ready("a", "m", "")); got != "" {
		t.Errorf("after the departure: got %q, want none", got)
	}
}

// A list that misses a change of a target would send to one that has left, or
// not to one that has come. A list that changes after it was handed out would
// be a data race in the router.
func TestReadyMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		r := New(Config{Now: func() time.Time { return now }})
		var lists, copies [][]*wire.Target
		draw := func(t *rapid.T) *wire.Target {
			a := target(strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "name")), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				rapid.SampledFrom([]string{Ready, Ready, Leaving, Gone}).Draw(t, "state"), uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")))
			a.Models = rapid.SliceOfN(rapid.SampledFrom([]string{"m", "n"}), 0, 2).Draw(t, "models")
			a.Services = rapid.SliceOfN(rapid.SampledFrom([]string{"s"}), 0, 1).Draw(t, "services")
			return a
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) { r.Announce(draw(t)) },
			"pass":     func(t *rapid.T) { r.ApplyRelayed(draw(t)) },
			"replace":  func(t *rapid.T) { r.ReplaceRelayed("a", []*wire.Target{draw(t)}) },
			"since":    func(*rapid.T) { r.ChangesSince("", 0) },
			"wait":     func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for _, k := range []key{{}, {zone: "a"}, {model: "m"}, {zone: "b", model: "n"}, {zone: "a", service: "s"}} {
					got := r.Ready(k.zone, k.model, k.service)
					want := slices.DeleteFunc(r.Live(), func(t *wire.Target) bool { return !k.has(t) })
					if !slices.Equal(got, want) {
						t.Fatalf("%v: got %s, want %s", k, names(got), names(want))
					}
					lists, copies = append(lists, got), append(copies, slices.Clone(got))
				}
			},
		})
		for i := range lists {
			if !slices.Equal(lists[i], copies[i]) {
				t.Fatalf("a list changed from %s to %s", names(copies[i]), names(lists[i]))
			}
		}
	})
}

// has tells whether a target belongs to a list.
func (k key) has(t *wire.Target) bool {
	return t.State == Ready && (k.zone == "" || k.zone == t.Zone) &&
		(k.model == "" || slices.Contains(t.Models, k.model)) && (k.service == "" || slices.Contains(t.Services, k.service))
}

// A target that announced itself here for a while, through an entry instance
// that has changed to another holder since, must stay as long as the holder of
// its zone has it, and no longer.
func TestListed(t *testing.T) {
	for name, end := range map[string]func(r *Registry){
		"gone":     func(r *Registry) { r.ApplyRelayed(target("e", "a", Gone, 1)) },
		"replaced": func(r *Registry) { r.ReplaceRelayed("a", nil) },
	} {
		now := time.Unix(0, 0)
		r := New(Config{Now: func() time.Time { return now }})
		r.ApplyRelayed(target("e", "a", Ready, 1))
		r.Announce(target("e", "a", Ready, 1))
		now = now.Add(2 * TTL)
		if changed, _, _ := r.ChangesSince("", 0); names(changed) != "e:ready " {
			t.Errorf("%s: listed: got %q, want it ready", name, names(changed))
		}
		end(r)
		if got := names(r.Live()); got != "" {
			t.Errorf("%s: got %q, want none", name, got)
		}
	}
}

// A holder that followed another one while it started must not keep a target
// that has died for good, and must keep one that announces itself.
func TestAdopt(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(Config{Now: func() time.Time { return now }})
	for _, name := range []string{"dead", "alive"} {
		r.Announce(target(name, "a", Ready, 1))
		r.ApplyRelayed(target(name, "a", Ready, 1))
	}
	r.ApplyRelayed(target("other", "b", Ready, 1))
	r.ExpireRelayed("a")
	for _, want := range []string{"alive:ready dead:ready other:ready ", "alive:ready other:ready "} {
		now = now.Add(adoptTime - TTL/2)
		r.Announce(target("alive", "a", Ready, 1))
		if got := names(r.Live()); got != want {
			t.Errorf("after %v: got %q, want %q", now.Sub(time.Unix(0, 0)), got, want)
		}
	}
}
