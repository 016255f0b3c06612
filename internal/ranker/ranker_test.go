package ranker_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/papayapond/papayapond/internal/ranker"
)

// The order must not depend on the input order, must distribute first places
// evenly, and must keep the relative order when an address is removed.
func TestOrder(t *testing.T) {
	var addresses []string
	for i := range 20 {
		addresses = append(addresses, fmt.Sprint("10.1.0.", 40+i, ":7340"))
	}
	first := map[string]int{}
	for i := range 400 {
		r := ranker.New(fmt.Sprint("account", i))
		want := r.Order(addresses)
		reversed := slices.Clone(addresses)
		slices.Reverse(reversed)
		if got := r.Order(reversed); !slices.Equal(got, want) {
			t.Fatalf("reversed input: got %v, want %v", got, want)
		}
		without := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == want[0] })
		if got := r.Order(without); !slices.Equal(got, want[1:]) {
			t.Fatalf("without %s: got %v, want %v", want[0], got, want[1:])
		}
		first[want[0]]++
	}
	for _, address := range addresses {
		if n := first[address]; n < 5 || n > 50 {
			t.Errorf("%s: got the first place for %d of 400 keys, want about 20", address, n)
		}
	}
}
