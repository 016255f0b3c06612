package enroller_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/enroller"
	"github.com/papayapond/papayapond/internal/wire"
)

func ready(id string, born int64, sequence uint64, address string) *wire.Listing {
	return &wire.Listing{Id: id, Born: born, Sequence: sequence, Pool: "p", Address: address, Zone: "z", Capacity: 4}
}

func leaving(sequence uint64) *wire.Listing {
	l := ready("a", 1, sequence, "x")
	l.Leaving = true
	return l
}

func gone(id string, born int64) *wire.Listing { return &wire.Listing{Id: id, Born: born, Gone: true} }

// Announcements arrive late and out of order, and addresses are reused. A
// lifetime that has ended or is leaving must not get requests again.
func TestApply(t *testing.T) {
	for _, test := range []struct {
		name string
		list []*wire.Listing
		want string
	}{
		{"ready", []*wire.Listing{ready("a", 1, 1, "x")}, "[a1]"},
		{"late ready after leaving", []*wire.Listing{leaving(5), ready("a", 1, 4, "x")}, "[a1 leaving]"},
		{"later ready after leaving", []*wire.Listing{leaving(5), ready("a", 1, 6, "x")}, "[a1 leaving]"},
		{"next lifetime after leaving", []*wire.Listing{leaving(5), ready("a", 2, 1, "x")}, "[a2]"},
		{"late ready after the end", []*wire.Listing{ready("a", 1, 1, "x"), gone("a", 1), ready("a", 1, 9, "x")}, "[]"},
		{"late end of an earlier lifetime", []*wire.Listing{ready("a", 2, 1, "x"), gone("a", 1)}, "[a2]"},
		{"end without a start time", []*wire.Listing{ready("a", 2, 1, "x"), gone("a", 0)}, "[]"},
		{"end of an unknown lifetime", []*wire.Listing{gone("a", 3), ready("a", 3, 1, "x")}, "[]"},
		{"address reused", []*wire.Listing{ready("a", 1, 1, "x"), ready("b", 2, 1, "x")}, "[b2]"},
		{"late announcement from a reused address", []*wire.Listing{ready("b", 2, 1, "x"), ready("a", 1, 7, "x")}, "[b2]"},
		{"two addresses", []*wire.Listing{ready("b", 2, 1, "x"), ready("a", 1, 7, "y")}, "[a1 b2]"},
	} {
		e := enroller.New()
		for _, l := range test.list {
			e.Apply(l)
		}
		got := []string{}
		for _, l := range e.List() {
			s := fmt.Sprint(l.Id, l.Born)
			if l.Leaving {
				s += " leaving"
			}
			got = append(got, s)
		}
		if fmt.Sprint(got) != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Streams go on only at the version that began them, so that a lifetime that names
// another version must be listed with it, also while it is leaving. One that names none
// must not lose its version.
func TestVersionChanges(t *testing.T) {
	named := func(l *wire.Listing, version string) *wire.Listing {
		l.Version = version
		return l
	}
	for _, test := range []struct {
		name string
		list []*wire.Listing
		want string
	}{
		{"another version", []*wire.Listing{named(ready("a", 1, 1, "x"), "v1"), named(ready("a", 1, 2, "x"), "v2")}, "v2"},
		{"late announcement", []*wire.Listing{named(ready("a", 1, 2, "x"), "v2"), named(ready("a", 1, 1, "x"), "v1")}, "v2"},
		{"no version", []*wire.Listing{named(ready("a", 1, 1, "x"), "v1"), ready("a", 1, 2, "x")}, "v1"},
		{"no version at another address", []*wire.Listing{named(ready("a", 1, 1, "x"), "v1"), ready("a", 1, 2, "y")}, "v1"},
		{"no version in the next lifetime", []*wire.Listing{named(ready("a", 1, 1, "x"), "v1"), ready("a", 2, 1, "x")}, ""},
		{"while leaving", []*wire.Listing{named(leaving(1), "v1"), named(leaving(2), "v2")}, "v2"},
	} {
		e := enroller.New()
		for _, l := range test.list {
			e.Apply(l)
		}
		if got := e.List()[0].Version; got != test.want {
			t.Errorf("%s: got version %q, want %q", test.name, got, test.want)
		}
		if l := e.List()[0]; l.Leaving != test.list[0].Leaving {
			t.Errorf("%s: got leaving %v, want %v", test.name, l.Leaving, test.list[0].Leaving)
		}
	}
}

// An announcement that changes nothing must not cause a commit, and a restored
// registry must behave like the saved one.
func TestSnapshot(t *testing.T) {
	e := enroller.New()
	for _, l := range []*wire.Listing{ready("a", 1, 1, "x"), ready("b", 1, 1, "y"), gone("b", 1)} {
		e.Apply(l)
	}
	s := &wire.CoreState{}
	e.Save(s)
	restored := enroller.New()
	restored.Load(s)
	for _, l := range []*wire.Listing{ready("a", 1, 2, "x"), ready("b", 1, 5, "y"), leaving(3)} {
		if got, want := restored.Changes(l), e.Changes(l); got != want {
			t.Errorf("%v: got %v, want %v", l, got, want)
		}
	}
	if got, want := restored.Revision(), e.Revision(); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
	if got, want := len(restored.List()), 1; got != want || !proto.Equal(restored.List()[0], e.List()[0]) {
		t.Errorf("got %v, want %v", restored.List(), e.List())
	}
	if e.Changes(ready("a", 1, 2, "x")) {
		t.Error("repeated announcement: got a change, want none")
	}
}
