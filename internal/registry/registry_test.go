package registry

import (
	"testing"
	"time"

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
	_, seq, _ := r.Since("a", 0)
	now = now.Add(TTL)
	if got := names(r.Ready("a", "", "")); got != "" {
		t.Errorf("ready after TTL: got %q, want none", got)
	}
	changed, _, _ := r.Since("a", seq)
	if got, want := names(changed), "e:gone "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// The full list of a holder must remove what it lacks, but not a target that
// announces itself here.
func TestReplace(t *testing.T) {
	r := New(Config{})
	r.Pass(target("old", "a", Ready, 1))
	r.Pass(target("other", "b", Ready, 1))
	r.Announce(target("direct", "a", Ready, 1))
	r.Replace("a", []*wire.Target{target("new", "a", Ready, 1)})
	if got, want := names(r.Ready("", "", "")), "direct:ready new:ready other:ready "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A target that a holder removed and passes on again must be ready again, else
// a zone stays without targets after its holder was restarted.
func TestReturn(t *testing.T) {
	r := New(Config{})
	r.Pass(target("e", "a", Ready, 1))
	r.Replace("a", nil)
	r.Pass(target("e", "a", Ready, 1))
	if got, want := names(r.Ready("a", "", "")), "e:ready "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A target that announced itself here for a while, through an entry instance
// that has changed to another holder since, must stay as long as the holder of
// its zone has it, and no longer.
func TestListed(t *testing.T) {
	for name, end := range map[string]func(r *Registry){
		"gone":     func(r *Registry) { r.List(target("e", "a", Gone, 1)) },
		"replaced": func(r *Registry) { r.Replace("a", nil) },
	} {
		now := time.Unix(0, 0)
		r := New(Config{Now: func() time.Time { return now }})
		r.List(target("e", "a", Ready, 1))
		r.Announce(target("e", "a", Ready, 1))
		now = now.Add(2 * TTL)
		if changed, _, _ := r.Since("", 0); names(changed) != "e:ready " {
			t.Errorf("%s: listed: got %q, want it ready", name, names(changed))
		}
		end(r)
		if got := names(r.Present()); got != "" {
			t.Errorf("%s: got %q, want none", name, got)
		}
	}
}
