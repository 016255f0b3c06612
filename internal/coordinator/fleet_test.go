package coordinator

import (
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// A list that shrinks for a moment would change which instances lend: a new
// leader must say nothing until all have called, and an instance must stay
// listed through a partition. One that has stopped, or is silent for long, must
// go; its lenders would hold tokens for nobody.
func TestFleetList(t *testing.T) {
	begun := time.Unix(1000, 0)
	f := fleet{since: begun}
	f.add("e1", "z1", begun.Add(time.Second))
	if digest, list := f.told(0, begun.Add(time.Second)); digest != 0 || list != nil {
		t.Errorf("1 s after the begin of the term: got digest %d and %v, want nothing", digest, list)
	}
	f.add("e2", "z2", begun.Add(2*time.Second))
	digest, list := f.told(0, begun.Add(3*time.Second))
	if len(list) != 2 || digest == 0 {
		t.Fatalf("got digest %d and %v, want two instances", digest, list)
	}
	if again, list := f.told(digest, begun.Add(4*time.Second)); again != digest || list != nil {
		t.Errorf("list that is held: got digest %d and %v, want %d and nothing", again, list, digest)
	}
	f.add("e1", "z1", begun.Add(20*time.Second))
	for _, test := range []struct {
		after  time.Duration
		remove string
		want   []string
	}{
		{31 * time.Second, "", []string{"e1", "e2"}},
		{33 * time.Second, "", []string{"e1"}},
		{34 * time.Second, "e1", nil},
	} {
		if test.remove != "" {
			f.remove(test.remove)
		}
		_, list := f.told(0, begun.Add(test.after))
		if got := addresses(list); len(got) != len(test.want) || len(got) > 0 && got[0] != test.want[0] {
			t.Errorf("after %v: got %v, want %v", test.after, got, test.want)
		}
	}
}

func addresses(list []*wire.Member) []string {
	var all []string
	for _, m := range list {
		all = append(all, m.Address)
	}
	return all
}
