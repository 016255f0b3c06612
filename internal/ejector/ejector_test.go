package ejector

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

func targets(n int) []*wire.Target {
	var list []*wire.Target
	for i := range n {
		list = append(list, &wire.Target{Name: fmt.Sprintf("e%d", i)})
	}
	return list
}

func has(list []*wire.Target, name string) bool {
	for _, t := range list {
		if t.Name == name {
			return true
		}
	}
	return false
}

// A target that fails must get no requests during its pause, then a few
// probes, and a longer pause if a probe fails too.
func TestPauseAndProbe(t *testing.T) {
	now := time.Unix(1000, 0)
	e := New(Config{Now: func() time.Time { return now }})
	all := targets(4)
	for range failures {
		e.RecordFailure("e0")
	}
	if has(e.Filter(all), "e0") {
		t.Error("after failures: target is offered, want ejected")
	}
	now = now.Add(firstPause)
	if !has(e.Filter(all), "e0") || has(e.Filter(all), "e0") {
		t.Error("after the pause: want one offer at a time")
	}
	e.RecordFailure("e0")
	now = now.Add(firstPause)
	if has(e.Filter(all), "e0") {
		t.Error("after a failed probe: target is offered, want a longer pause")
	}
	now = now.Add(firstPause)
	e.RecordSuccess("e0", time.Millisecond)
	if !has(e.Filter(all), "e0") || e.Ejected() != 0 {
		t.Error("after a good probe: target is ejected, want healthy")
	}
}

// When all targets fail for a common cause, half of them must stay in use.
func TestFloor(t *testing.T) {
	e := New(Config{})
	for i := range 5 {
		for range failures {
			e.RecordFailure(fmt.Sprintf("e%d", i))
		}
	}
	if got, want := len(e.Filter(targets(5))), 3; got != want {
		t.Errorf("targets in use: got %d, want %d", got, want)
	}
	if got, want := len(e.Filter(targets(1))), 1; got != want {
		t.Errorf("single target: got %d, want %d", got, want)
	}
}

// A target that answers much slower than the others must be ejected although
// its answers are whole.
func TestSlow(t *testing.T) {
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
		e.RecordSuccess("e1", 0) // whole answers have no time
	}
	e.RecordSuccess("e2", time.Second)
	if list := e.Filter(targets(4)); has(list, "e2") || len(list) != 3 {
		t.Errorf("got %v, want all but e2", list)
	}
}
