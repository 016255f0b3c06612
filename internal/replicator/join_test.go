package replicator

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// opened calls f in a bubble with a cluster that instances may join by
// themselves; the first three found its log.
func opened(t *testing.T, seed uint64, voters int, names []string, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, names...)
		c.open, c.founders, c.voters = true, names[:3], voters
		c.startAll()
		defer c.stopAll()
		f(t, c)
	})
}

// voters waits until the leader's list of voters has the wanted instances.
func (c *cluster) awaitVoters(want ...string) {
	c.t.Helper()
	var got []string
	for range 500 {
		_, m := c.leader()
		_, _, voters := m.Status()
		got = nil
		for _, v := range voters {
			got = append(got, instance(v))
		}
		slices.Sort(got)
		if slices.Equal(got, want) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("voters: got %v, want %v: %s", got, want, c.describe())
}

// With more core machines than the settings name, the log must reach the number
// of voters that bears the tolerated losses, and then lose two of them.
func TestGrow(t *testing.T) {
	opened(t, 31, 5, []string{"a", "b", "c", "d", "e"}, func(_ *testing.T, c *cluster) {
		c.awaitVoters("a", "b", "c", "d", "e")
		c.crash("a")
		c.crash("b")
		c.propose("k=v")
	})
}

// An instance at another address with an empty disk must take the place of one
// that is gone, so that the loss of another one after it is borne.
func TestReplacementJoins(t *testing.T) {
	opened(t, 32, 3, []string{"a", "b", "c", "d"}, func(t *testing.T, c *cluster) {
		c.crash("d")
		c.awaitVoters("a", "b", "c")
		c.propose("k=v")
		c.crash("a")
		c.start("d")
		c.awaitVoters("b", "c", "d")
		c.crash("b")
		c.propose("k=w")
		if got, want := c.nodes["d"].state.get("k"), "w"; got != want && c.nodes["c"].state.get("k") != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// A voter that lost its place while it was away must come back as a standby
// and take the next free place.
func TestForgottenVoterReturns(t *testing.T) {
	opened(t, 33, 3, []string{"a", "b", "c", "d"}, func(_ *testing.T, c *cluster) {
		c.awaitVoters("a", "b", "c")
		c.crash("a")
		c.awaitVoters("b", "c", "d")
		c.start("a")
		time.Sleep(10 * defaultElection)
		c.awaitVoters("b", "c", "d")
		c.crash("d")
		c.awaitVoters("a", "b", "c")
	})
}

// A founder that restarts with other names in its settings must keep the
// members that it has founded the log with.
func TestFoundersAreStored(t *testing.T) {
	opened(t, 34, 3, []string{"a", "b", "c"}, func(_ *testing.T, c *cluster) {
		c.propose("k=v")
		for _, name := range c.names {
			c.crash(name)
		}
		c.founders = []string{"x", "y", "z"}
		c.startAll()
		c.awaitVoters("a", "b", "c")
		c.propose("k=w")
	})
}

// An instance with an empty disk that joins must not found a log of its own,
// also if all that it knows are as empty.
func TestJoinerFoundsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 35, "a", "b", "c")
		c.open, c.founders, c.voters = true, []string{"x"}, 3
		c.startAll()
		defer c.stopAll()
		time.Sleep(20 * defaultElection)
		for _, name := range c.names {
			if m, _ := c.running(name); m.Leader() != "" {
				t.Errorf("%s follows %q, want no leader", name, m.Leader())
			}
		}
	})
}
