package spender_test

import (
	"testing"
	"time"

	"github.com/papayapond/papayapond/internal/spender"
	"github.com/papayapond/papayapond/internal/wire"
)

// An account that hasn't changed must not be declared with each call, or the log of the
// core grows with the product of instances and accounts; it must be declared now and
// then, and at once when something has changed or the answer was lost.
func TestDeclareChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	s := spender.New(spender.Config{Now: func() time.Time { return now }})
	s.AddAccounts([]string{"a", "b"})
	answer := func(list []*wire.Allowance) {
		var limits []*wire.Limit
		for _, q := range list {
			limits = append(limits, &wire.Limit{Account: q.Account, Limit: max(q.Limit, q.Want), Lock: q.Lock, Total: 1 << 20, Free: 1 << 20, Spare: 1 << 20})
		}
		s.UpdateLimits(limits, 1)
	}
	for step, test := range []struct {
		pause    time.Duration
		reserve  bool
		lost     bool
		atMost   int
		declared string // an account that must be among them, if not empty
	}{
		{0, false, false, 2, "a"},
		{300 * time.Millisecond, false, false, 2, "a"}, // wants its initial share
		{300 * time.Millisecond, false, false, 0, ""},
		{300 * time.Millisecond, true, true, 1, "a"},
		{300 * time.Millisecond, false, false, 1, "a"},
		{300 * time.Millisecond, false, false, 0, ""},
		{2 * time.Second, false, false, 2, "b"},
	} {
		now = now.Add(test.pause)
		if test.reserve {
			if _, err := s.Reserve(t.Context(), "a", 10); err != nil {
				t.Fatal(err)
			}
		}
		list := s.Declare()
		found := test.declared == ""
		for _, q := range list {
			found = found || q.Account == test.declared
		}
		if len(list) > test.atMost || !found {
			t.Errorf("step %d: got %v, want at most %d with %q among them", step, list, test.atMost, test.declared)
		}
		if !test.lost {
			answer(list)
		}
	}
}
