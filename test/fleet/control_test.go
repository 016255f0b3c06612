package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/printer"
)

// changed returns the sample configuration with one more model, as the given
// version.
func (f *fleet) changed(version uint64, name string) []byte {
	return printer.Text(f.sampler.Venture().WithVersion(version, version-1).WithModels(model.New(name, 64, 1024)))
}

func (f *fleet) submit(i int, text []byte) error {
	_, err := f.client(i).Call(f.t.Context(), http.MethodPut, "/v1/configuration", text)
	return err
}

type state struct {
	Version   uint64
	Leader    string
	Instances []struct {
		Name    string
		Version uint64
	}
}

func (f *fleet) state(i int) (state, error) {
	var s state
	text, err := f.client(i).Call(f.t.Context(), http.MethodGet, "/v1/fleet", nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// inForce waits until all instances have the version in force.
func (f *fleet) inForce(version uint64) {
	f.t.Helper()
	f.eventually("come into force", func() error {
		s, err := f.state(0)
		if err != nil {
			return err
		}
		for _, i := range s.Instances {
			if i.Version != version {
				return fmt.Errorf("%s has version %d, want %d", i.Name, i.Version, version)
			}
		}
		if len(s.Instances) != len(f.names) {
			return fmt.Errorf("%d instances, want %d", len(s.Instances), len(f.names))
		}
		return nil
	})
}

// Operators that race with equal version numbers must get exactly one winner,
// whose resent change succeeds again, and the losers must learn who won.
func TestRacingOperators(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, false)
	errs := make([]error, 4)
	var group sync.WaitGroup
	for n := range errs {
		group.Go(func() { errs[n] = f.submit(n%len(f.names), f.changed(2, fmt.Sprintf("model-%d", n))) })
	}
	group.Wait()
	winner := -1
	for n, err := range errs {
		switch {
		case err == nil && winner < 0:
			winner = n
		case err == nil:
			t.Errorf("operators %d and %d both won", winner, n)
		case fault.Of(err) != fault.Conflict || !strings.Contains(err.Error(), "2"):
			t.Errorf("operator %d: got %v, want a conflict that names version 2", n, err)
		}
	}
	if winner < 0 {
		t.Fatalf("no operator won: %v", errs)
	}
	if err := f.submit(3, f.changed(2, fmt.Sprintf("model-%d", winner))); err != nil {
		t.Errorf("resent change of the winner: %v", err)
	}
	f.inForce(2)
}

// A leader that is cut off silently must not accept anything, the others must
// go on, and what they accepted must be in force everywhere after the cut.
func TestIsolatedLeader(t *testing.T) {
	f := start(t, []int{2, 1, 1}, 100_000, true)
	f.inForce(1)
	s, err := f.state(0)
	if err != nil {
		t.Fatal(err)
	}
	zone := s.Leader[:1]
	isolated := func(i int) bool { return strings.HasPrefix(f.names[i], zone) }
	inside := slices.IndexFunc(f.names, func(n string) bool { return n == s.Leader })
	outside := (inside + 2) % len(f.names)
	if isolated(outside) {
		outside = 3
	}
	f.cut(isolated, true)
	lost := make(chan error, 1)
	go func() { lost <- f.submit(inside, f.changed(2, "isolated")) }()
	f.eventually("accept a change without the old leader", func() error { return f.submit(outside, f.changed(2, "majority")) })
	if err := <-lost; err == nil {
		t.Error("the isolated leader accepted a change")
	}
	for v := uint64(3); v < 8; v++ {
		f.eventually("accept another change", func() error { return f.submit(outside, f.changed(v, "majority")) })
	}
	f.cut(isolated, false)
	f.inForce(7)
	if err := f.submit(inside, f.changed(2, "isolated")); fault.Of(err) != fault.Conflict {
		t.Errorf("resent change of the isolated side: got %v, want a conflict", err)
	}
}

// After hundreds of changes all processes must come back with the last
// configuration, byte for byte, and never with an older one.
func TestRestartAfterManyChanges(t *testing.T) {
	const changes = 500
	f := start(t, []int{1, 1, 1}, 100_000, false)
	for v := uint64(2); v <= changes; v++ {
		if err := f.submit(0, f.changed(v, fmt.Sprintf("model-%d", v))); err != nil {
			t.Fatalf("version %d: %v", v, err)
		}
	}
	f.inForce(changes)
	document := func(i int) string {
		text, err := f.client(i).Call(t.Context(), http.MethodGet, "/v1/configuration", nil)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	want := document(0)
	for _, name := range f.names {
		f.kill(name)
	}
	for i := range f.names {
		f.serve(i)
	}
	for i := range f.names {
		f.eventually("be ready", func() error { return f.ready(i) })
	}
	f.inForce(changes)
	for i, name := range f.names {
		if got := document(i); got != want {
			t.Errorf("configuration of %s: got\n%s\nwant\n%s", name, got, want)
		}
	}
}

// Callers on all instances that use up a budget must not overspend it, and
// the last tokens must be usable wherever they are asked for.
func TestLastTokens(t *testing.T) {
	const budget, cost = 6000, 40
	f := start(t, []int{2, 1, 1}, budget, false)
	f.engine("engine-a", "a", []int{0})
	for i := range f.names {
		f.routes(i)
	}
	var group sync.WaitGroup
	deadline := time.Now().Add(patience)
	for i := range f.names {
		group.Go(func() {
			for refused := 0; refused < 10 && time.Now().Before(deadline); {
				a := f.chat(i, "hello", 24, false, "")
				switch code, _ := a.code(); {
				case a.status == http.StatusOK:
					refused = 0
				case code == "exhausted":
					refused++
					time.Sleep(200 * time.Millisecond)
				default:
					t.Errorf("got %d %s", a.status, a.body)
					return
				}
			}
		})
	}
	group.Wait()
	s, err := f.statement(0)
	if err != nil {
		t.Fatal(err)
	}
	if s.Billed > budget {
		t.Errorf("billed: got %d, want at most %d", s.Billed, budget)
	}
	if left := s.Prepaid - s.Billed; left > 2*cost {
		t.Errorf("unspent: got %d tokens, want less than two requests of %d", left, cost)
	}
}
