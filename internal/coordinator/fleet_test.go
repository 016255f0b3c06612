package coordinator

import (
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// A member list that shrinks briefly would change which instances lend. A new
// leader must therefore return no list until all instances have had time to
// call, and an instance must stay listed through a partition. An instance that
// has stopped or is silent for long must be dropped: as a lender it would hold
// tokens that nobody can borrow.
func TestMemberList(t *testing.T) {
	termStart := time.Unix(1000, 0)
	f := fleet{termStart: termStart}
	f.add("e1", "z1", termStart.Add(time.Second))
	if digest, list := f.listFor(0, termStart.Add(time.Second)); digest != 0 || list != nil {
		t.Errorf("1 s after the start of the term: got digest %d and %v, want nothing", digest, list)
	}
	f.add("e2", "z2", termStart.Add(2*time.Second))
	digest, list := f.listFor(0, termStart.Add(3*time.Second))
	if len(list) != 2 || digest == 0 {
		t.Fatalf("got digest %d and %v, want two instances", digest, list)
	}
	if again, list := f.listFor(digest, termStart.Add(4*time.Second)); again != digest || list != nil {
		t.Errorf("known list: got digest %d and %v, want %d and nothing", again, list, digest)
	}
	f.add("e1", "z1", termStart.Add(20*time.Second))
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
		_, list := f.listFor(0, termStart.Add(test.after))
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
