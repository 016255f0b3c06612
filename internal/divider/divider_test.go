package divider

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// report returns a statement of target t and the demand of an instance.
func report(rate, demand float64) []*wire.TargetLimit {
	return []*wire.TargetLimit{{Target: "t", Rate: rate, Demand: demand}}
}

// The shares of all instances must add up to the limit, whatever the demands, and
// only as many instances may have one as the limit has whole requests.
func TestShares(t *testing.T) {
	for _, test := range []struct {
		rate    float64
		demands []float64
		want    string
	}{
		{4, []float64{1, 3}, "[1 3]"},
		{4, []float64{0, 3}, "[0 4]"},
		{4, []float64{0, 0}, "[0 0]"},
		{1.5, []float64{2, 5, 3}, "[0 1.5 0]"},
		{2, []float64{3, 0.5, 1}, "[1.5 0 0.5]"},
		{0.2, []float64{1, 1}, "[0.2 0]"},
	} {
		now := time.Unix(1000, 0)
		d := New(Config{Now: func() time.Time { return now }})
		for i, demand := range test.demands {
			d.Report(fmt.Sprint("e", i), report(test.rate, demand))
		}
		var got []float64
		for i := range test.demands {
			got = append(got, d.Shares(fmt.Sprint("e", i))[0].Share)
		}
		if fmt.Sprint(got) != test.want {
			t.Errorf("limit %v, demands %v: got shares %v, want %s", test.rate, test.demands, got, test.want)
		}
	}
}

// A share must go to others once its instance stops or is silent, and must not
// change hands with each change of the demand.
func TestShareChangesHands(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(Config{Now: func() time.Time { return now }})
	share := func(instance string, demand float64) float64 {
		now = now.Add(divideInterval)
		d.Report(instance, report(1, demand))
		return d.Shares(instance)[0].Share
	}
	for _, step := range []struct {
		instance string
		demand   float64
		want     float64
	}{{"a", 2, 1}, {"b", 3, 0}, {"a", 2, 1}, {"b", 9, 1}, {"a", 2, 0}} {
		if got := share(step.instance, step.demand); got != step.want {
			t.Errorf("%s with demand %v: got share %v, want %v", step.instance, step.demand, got, step.want)
		}
	}
	d.Remove("b")
	if got, want := share("a", 2), 1.0; got != want {
		t.Errorf("after the other has stopped: got share %v, want %v", got, want)
	}
	share("c", 1)
	now = now.Add(demandMemory + time.Second)
	if got, want := share("c", 1), 1.0; got != want {
		t.Errorf("after the other has been silent: got share %v, want %v", got, want)
	}
}

// The newest statement of a target must win, whichever instance reports first, and a
// limit must be forgotten in the end.
func TestNewestStatement(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New(Config{Now: func() time.Time { return now }})
	d.Report("a", []*wire.TargetLimit{{Target: "t", Rate: 5, Age: 10}})
	d.Report("b", []*wire.TargetLimit{{Target: "t", Rate: 2, Age: 900}})
	if got, want := d.Shares("a")[0].Rate, 5.0; got != want {
		t.Errorf("got limit %v, want %v", got, want)
	}
	d.Report("b", []*wire.TargetLimit{{Target: "t", Lifted: true}})
	if !d.Shares("a")[0].Lifted {
		t.Error("the limit isn't lifted")
	}
	now = now.Add(liftedMemory + time.Second)
	if got, want := len(d.Shares("a")), 0; got != want {
		t.Errorf("got %d limits, want %d", got, want)
	}
	for i := range 2 * maxLimits {
		d.Report("a", []*wire.TargetLimit{{Target: fmt.Sprint(i), Rate: 1}})
	}
	if got, want := len(d.Shares("a")), maxLimits; got != want {
		t.Errorf("got %d limits, want %d", got, want)
	}
}
