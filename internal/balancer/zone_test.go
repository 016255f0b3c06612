package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/pool"
)

// If one zone has several times the callers of the others, its engines must not run
// full while those of other zones are half empty: most of its requests began late when
// instances sampled the engines of their own zone only. In calm, requests stay in the zone.
func TestOverloadedZone(t *testing.T) {
	const zones, enginesPerZone, instancesPerZone, batch = 5, 32, 12, 24
	for _, test := range []struct {
		name     string
		rates    [zones]int // requests for each step, by zone
		atMost   float64    // running in the busiest zone against the mean
		crossing float64    // most of the requests that may leave their zone
	}{
		{"even", [zones]int{20, 20, 20, 20, 20}, 1.15, 0.1},
		{"one zone with more", [zones]int{60, 12, 12, 12, 12}, 1.8, 1},
	} {
		random := rand.New(rand.NewPCG(3, 4))
		var list []*wire.Listing
		for i := range zones * enginesPerZone {
			list = append(list, &wire.Listing{Id: fmt.Sprintf("t%03d", i), Born: 1, Pool: "p", Address: fmt.Sprint("a", i), Zone: fmt.Sprint("z", i%zones)})
		}
		fleet := make([][]*balancer.Balancer, zones)
		for z := range zones {
			for i := range instancesPerZone {
				b := balancer.New(balancer.Config{Self: fmt.Sprint("e", z, "-", i), Zone: fmt.Sprint("z", z), Random: random.IntN})
				b.SetPools([]pool.Pool{pool.Pool{Name: "p"}.WithEngine(pool.Engine{Batch: batch, CacheTokens: 460000, TokensPerEvent: 1})})
				b.SetTargets(list)
				fleet[z] = append(fleet[z], b)
			}
		}
		zoneOf := map[string]int{}
		for i, l := range list {
			zoneOf[l.Id] = i % zones
		}
		running := map[string]int32{}
		var steps [][]func()
		crossed, all := 0, 0
		for step := range 60 {
			if step%2 == 0 { // reports are two steps old
				for _, instances := range fleet {
					for _, b := range instances {
						b.SetTable(table(list, running), b.LocalLoads())
					}
				}
			}
			var ends []func()
			for z, rate := range test.rates {
				for range rate {
					b := fleet[z][random.IntN(instancesPerZone)]
					p := choose(t, b, balancer.Query{Pool: "p", Tokens: 700, Output: 300, Retryable: true})
					p.MarkPrefilled()
					all++
					if zoneOf[p.ID()] != z {
						crossed++
					}
					running[p.ID()]++
					ends = append(ends, func() { running[p.ID()]--; p.Done(balancer.Served) })
				}
			}
			if steps = append(steps, ends); step >= 15 {
				for _, end := range steps[step-15] {
					end()
				}
			}
		}
		sums, total := [zones]float64{}, 0.0
		for id, n := range running {
			sums[zoneOf[id]] += float64(n)
			total += float64(n)
		}
		if got := sums[0] / (total / zones); got > test.atMost {
			t.Errorf("%s: the engines of the first zone run %.2f times the mean, want at most %.2f", test.name, got, test.atMost)
		}
		if got := float64(crossed) / float64(all); got > test.crossing {
			t.Errorf("%s: %.2f of the requests left their zone, want at most %.2f", test.name, got, test.crossing)
		}
	}
}

// table returns the loads of the listed targets.
func table(list []*wire.Listing, running map[string]int32) *wire.Table {
	table := &wire.Table{}
	for _, l := range list {
		table.Append(&wire.Load{Running: running[l.Id], Memory: int64(running[l.Id]) * 1000})
	}
	return table
}
