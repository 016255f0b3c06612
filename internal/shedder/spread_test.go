package shedder_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/shedder"
)

// A caller with a third of the traffic of a zone keeps many connections, and the
// balancer in front puts each new one on the first ready instance in the order of the
// caller's hash. The connections must spread over several instances: one that carried
// half of its link with them answered in 47 ms what others answered in 13 ms.
func TestCallerSpreads(t *testing.T) {
	const (
		instances   = 12
		connections = 100
		step        = 50 * time.Millisecond
		checkEvery  = time.Second
		missesToOut = 2
		demand      = 0.9 // of one link
	)
	random := rand.New(rand.NewPCG(7, 8))
	now := time.Unix(1000, 0)
	var list []*shedder.Shedder
	for range instances {
		list = append(list, shedder.New(shedder.Config{Capacity: capacity, Now: func() time.Time { return now }, Random: random.Float64}))
	}
	misses := make([]int, instances)
	connect := func() int {
		for i, n := range misses {
			if n < missesToOut {
				return i
			}
		}
		return 0
	}
	at := make([]int, connections)
	for c := range at {
		at[c] = connect()
	}
	worst, samples, sum := 0.0, 0, 0.0
	for tick := range int(40 * time.Second / step) {
		now = now.Add(step)
		if tick%int(checkEvery/step) == 0 {
			for i, s := range list {
				if misses[i]++; !s.IsSaturated() {
					misses[i] = 0
				}
			}
		}
		for c := range at {
			list[at[c]].CountBytes(int(demand*capacity*step.Seconds()/connections), 0)
			// Each connection carries a request in two steps.
			if random.IntN(2) == 0 && list[at[c]].ShouldClose() {
				at[c] = connect()
			}
		}
		if now.Sub(time.Unix(1000, 0)) < 15*time.Second {
			continue
		}
		highest := 0.0
		for _, s := range list {
			highest = max(highest, s.Utilization())
		}
		worst = max(worst, highest)
		sum += highest
		samples++
	}
	if got, want := sum/float64(samples), 0.5; got > want {
		t.Errorf("got %.2f of its link in use at the busiest instance on average, want at most %.2f", got, want)
	}
	t.Logf("busiest instance: %.2f on average, %.2f at most", sum/float64(samples), worst)
}
