package replicator

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// withJoiningCluster calls f in a synctest bubble with a cluster that
// instances join on their own. The first three are the initial members.
func withJoiningCluster(t *testing.T, seed uint64, voters int, names []string, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, names...)
		c.allowJoin, c.initialMembers, c.voterCount = true, names[:3], voters
		c.startAll()
		defer c.stopAll()
		f(t, c)
	})
}

// awaitVoters waits until the voters known to the leader are exactly the
// given instances.
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

// A log with more core instances than initial members must grow to VoterCount
// and then tolerate the loss of two voters.
func TestGrowToVoterCount(t *testing.T) {
	withJoiningCluster(t, 31, 5, []string{"a", "b", "c", "d", "e"}, func(_ *testing.T, c *cluster) {
		c.awaitVoters("a", "b", "c", "d", "e")
		c.crash("a")
		c.crash("b")
		c.propose("k=v")
	})
}

// An instance with another address and an empty disk must replace a lost
// voter, so the log tolerates a second loss.
func TestReplacementJoins(t *testing.T) {
	withJoiningCluster(t, 32, 3, []string{"a", "b", "c", "d"}, func(t *testing.T, c *cluster) {
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

// A voter that was replaced while it was down must return as a standby and
// fill the next free place.
func TestReplacedVoterRejoins(t *testing.T) {
	withJoiningCluster(t, 33, 3, []string{"a", "b", "c", "d"}, func(_ *testing.T, c *cluster) {
		c.awaitVoters("a", "b", "c")
		c.crash("a")
		c.awaitVoters("b", "c", "d")
		c.start("a")
		time.Sleep(10 * defaultElectionTimeout)
		c.awaitVoters("b", "c", "d")
		c.crash("d")
		c.awaitVoters("a", "b", "c")
	})
}

// An initial member that restarts with other names in its configuration must
// keep the members the log was started with.
func TestInitialMembersPersist(t *testing.T) {
	withJoiningCluster(t, 34, 3, []string{"a", "b", "c"}, func(_ *testing.T, c *cluster) {
		c.propose("k=v")
		for _, name := range c.names {
			c.crash(name)
		}
		c.initialMembers = []string{"x", "y", "z"}
		c.startAll()
		c.awaitVoters("a", "b", "c")
		c.propose("k=w")
	})
}

// An instance is told of a few others only, and the leader may not be among them.
// If it didn't follow what these answer, it would never join, and the voter that
// it is to replace would stay lost.
func TestJoinFindsLeaderThroughFollower(t *testing.T) {
	withJoiningCluster(t, 36, 3, []string{"a", "b", "c"}, func(t *testing.T, c *cluster) {
		leader, m := c.leader()
		followers := c.others(leader)
		c.known = followers[:1]
		c.loseDisk(followers[1])
		c.nodes[followers[1]].joins = true
		c.start(followers[1])
		time.Sleep(catchUpTime)
		_, _, voters := m.Status()
		if len(voters) != 3 || slices.Contains(voters, followers[1]) {
			t.Errorf("voters: got %v, want a new identity of %s among three", voters, followers[1])
		}
	})
}

// A joining instance with an empty disk must not start a new log, even if
// every instance it knows is empty too.
func TestJoinDoesNotBootstrap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 35, "a", "b", "c")
		c.allowJoin, c.initialMembers, c.voterCount = true, []string{"x"}, 3
		c.startAll()
		defer c.stopAll()
		time.Sleep(20 * defaultElectionTimeout)
		for _, name := range c.names {
			if m, _ := c.running(name); m.Leader() != "" {
				t.Errorf("%s: got leader %q, want none", name, m.Leader())
			}
		}
	})
}

// Two instances that ask to join at the same time passed the check for a free place both.
// If the second change began after the first had ended, the log grew beyond its number of
// voters.
func TestJoinTakesOnePlace(t *testing.T) {
	withJoiningCluster(t, 7, 4, []string{"a", "b", "c"}, func(t *testing.T, c *cluster) {
		_, m := c.leader()
		m.mu.Lock()
		m.handleJoin("d#1")
		changing := m.leading.changing
		m.mu.Unlock()
		if !changing {
			t.Error("after a request to join: got no change in progress, want one before the next request")
		}
	})
}
