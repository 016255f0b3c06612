package ejector

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

func newTargets(n int) []*wire.Target {
	var list []*wire.Target
	for i := range n {
		list = append(list, &wire.Target{Name: fmt.Sprintf("e%d", i)})
	}
	return list
}

func contains(list []*wire.Target, name string) bool {
	for _, t := range list {
		if t.Name == name {
			return true
		}
	}
	return false
}

// A failing target must get no requests while it is ejected, then single
// probes, and a longer ejection if a probe fails.
func TestEjectAndProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	e := New(Config{Now: func() time.Time { return now }})
	all := newTargets(4)
	for range failureLimit {
		e.RecordFailure("e0")
	}
	if contains(e.Filter(all), "e0") {
		t.Error("after failures: got target in use, want ejected")
	}
	now = now.Add(minEjection)
	if !contains(e.Filter(all), "e0") || contains(e.Filter(all), "e0") {
		t.Error("after the ejection: want a single probe per interval")
	}
	e.RecordFailure("e0")
	now = now.Add(minEjection)
	if contains(e.Filter(all), "e0") {
		t.Error("after a failed probe: got target in use, want a longer ejection")
	}
	now = now.Add(minEjection)
	e.RecordSuccess("e0", time.Millisecond)
	if !contains(e.Filter(all), "e0") || e.Ejected() != 0 {
		t.Error("after a successful probe: got target ejected, want healthy")
	}
}

// If all targets fail for a common cause, half of them must stay in use.
func TestKeepHalf(t *testing.T) {
	e := New(Config{})
	for i := range 5 {
		for range failureLimit {
			e.RecordFailure(fmt.Sprintf("e%d", i))
		}
	}
	if got, want := len(e.Filter(newTargets(5))), 3; got != want {
		t.Errorf("targets in use: got %d, want %d", got, want)
	}
	if got, want := len(e.Filter(newTargets(1))), 1; got != want {
		t.Errorf("single target: got %d, want %d", got, want)
	}
}

// A target that responds much slower than the others must be ejected even if
// its responses are complete.
func TestSlowTarget(t *testing.T) {
	e := New(Config{})
	for i := range 4 {
		first := 100 * time.Millisecond
		if i == 2 {
			first = time.Second
		}
		for range 2 * slowSamples {
			e.RecordSuccess(fmt.Sprintf("e%d", i), first)
		}
	}
	for range 2 * slowSamples {
		e.RecordSuccess("e1", 0) // responses that are not streams have no time
	}
	e.RecordSuccess("e2", time.Second)
	if list := e.Filter(newTargets(4)); contains(list, "e2") || len(list) != 3 {
		t.Errorf("got %v, want all but e2", list)
	}
}
