package enroller_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/papayapond/papayapond/internal/enroller"
	"github.com/papayapond/papayapond/internal/wire"
)

// A receiver that applies only what has changed since its revision must hold the same
// list as the registry, whatever starts, leaves, ends and takes over addresses, and
// after a snapshot too. One that missed an end would go on using a target that is gone.
func TestSince(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		e := enroller.New()
		held, revision := map[string]*wire.Listing{}, uint64(0)
		for step := range 400 {
			name := fmt.Sprint("t", random.IntN(12))
			l := ready(name, int64(1+random.IntN(1+step/20)), uint64(step), fmt.Sprint("address", random.IntN(8)))
			l.Leaving = random.IntN(6) == 0
			if random.IntN(5) == 0 {
				l = gone(name, l.Born)
			}
			e.Apply(l)
			if random.IntN(50) == 0 {
				s := &wire.CoreState{}
				e.Save(s)
				e = enroller.New()
				e.Load(s)
			}
			if random.IntN(3) > 0 {
				continue
			}
			list, ok := e.Since(revision)
			if !ok {
				held, list = map[string]*wire.Listing{}, e.List()
			}
			for _, l := range list {
				if l.Gone {
					delete(held, l.Id)
				} else {
					held[l.Id] = l
				}
			}
			revision = e.Revision()
			got, want := []string{}, []string{}
			for _, id := range slices.Sorted(maps.Keys(held)) {
				got = append(got, fmt.Sprint(id, held[id].Born, held[id].Address, held[id].Leaving))
			}
			for _, l := range e.List() {
				want = append(want, fmt.Sprint(l.Id, l.Born, l.Address, l.Leaving))
			}
			if !slices.Equal(got, want) {
				t.Fatalf("seed %d, step %d: got %v, want %v", seed, step, got, want)
			}
		}
	}
	if _, ok := enroller.New().Since(1); ok {
		t.Error("a revision that the registry hasn't reached: got changes, want none")
	}
}
