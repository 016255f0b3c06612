package replicator

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// catchUpTime is how long after the end of a storage error a member may take
// until it counts for the quorum again. It is the bound of the platform, within
// which a machine that is back still counts as lost.
const catchUpTime = 4 * time.Second

// A storage error that ends must not cost a voter for good: the next loss of a
// machine would take the quorum, and with it acknowledged entries until somebody
// restarts the process.
func TestMemberResumesAfterStorageError(t *testing.T) {
	for _, test := range []struct {
		name    string
		leader  bool // whether the disk of the leader fails first
		rounds  int  // disks that fail one after another
		failure func(d *fakeDisk, on bool)
	}{
		{"full disk of a follower", false, 1, (*fakeDisk).setFull},
		{"full disk of the leader", true, 1, (*fakeDisk).setFull},
		{"failed syncs of a follower", false, 1, (*fakeDisk).setSyncFailure},
		{"failed syncs of the leader", true, 1, (*fakeDisk).setSyncFailure},
		{"all disks one after another", true, 3, (*fakeDisk).setFull},
	} {
		t.Run(test.name, func(t *testing.T) {
			withCluster(t, 16, func(t *testing.T, c *cluster) {
				for n := range test.rounds {
					leader, _ := c.leader()
					name := leader
					if !test.leader {
						name = c.others(leader)[0]
					}
					test.failure(c.nodes[name].disk, true)
					c.propose(fmt.Sprint("failing", n, "=x"))
					time.Sleep(3 * time.Second)
					test.failure(c.nodes[name].disk, false)
					time.Sleep(catchUpTime)
				}
				c.awaitApplied()
				leader, _ := c.leader()
				c.crash(leader)
				c.propose("after=x")
				c.start(leader)
				c.awaitApplied()
			})
		})
	}
}

// A ballot that can't be stored at the first start must not keep the member out
// for good.
func TestStartAfterStorageError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 20, "a", "b", "c")
		c.nodes["c"].disk.ballot = storedBallot(t, &wire.Ballot{Disk: "1"})
		c.nodes["c"].disk.setBallotFailure(true)
		c.startAll()
		defer c.stopAll()
		time.Sleep(3 * time.Second)
		c.nodes["c"].disk.setBallotFailure(false)
		time.Sleep(catchUpTime)
		c.awaitApplied()
	})
}

func storedBallot(t *testing.T, b *wire.Ballot) []byte {
	t.Helper()
	data, err := encodeBallot(b)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A restart after a storage error must find everything that was acknowledged
// before and after it.
func TestRestartAfterStorageError(t *testing.T) {
	withCluster(t, 17, func(t *testing.T, c *cluster) {
		leader, _ := c.leader()
		name := c.others(leader)[0]
		c.propose("k=before")
		c.nodes[name].disk.setFull(true)
		c.propose("k=during")
		time.Sleep(time.Second)
		c.nodes[name].disk.setFull(false)
		time.Sleep(catchUpTime)
		c.propose("k=after")
		c.awaitApplied()
		c.stopAll()
		c.startAll()
		c.awaitApplied()
		for _, n := range c.names {
			if got, want := c.nodes[n].state.get("k"), "after"; got != want {
				t.Errorf("%s: got %q, want %q", n, got, want)
			}
		}
	})
}

// A disk with little space left takes a small write and refuses the next batch.
// A member that resumed there would stop again at once, and could depose a
// leader each time.
func TestMemberStaysStoppedWithoutSpaceForBatch(t *testing.T) {
	withCluster(t, 18, func(t *testing.T, c *cluster) {
		leader, _ := c.leader()
		name := c.others(leader)[0]
		d := c.nodes[name].disk
		d.setFull(true)
		c.propose("k=x")
		time.Sleep(time.Second)
		d.setFull(false)
		d.setSpace(maxBatchBytes / 2)
		for range 20 {
			time.Sleep(time.Second)
			if m, _ := c.running(name); !m.hasFailed() {
				t.Fatal("got a member that resumed without space for a batch")
			}
		}
		d.setSpace(0)
		time.Sleep(catchUpTime)
		c.awaitApplied()
	})
}

// A leader that waits for its ballot file can't write proposals. If it kept
// leading, nothing would be committed for as long as the disk hangs. It runs in
// real time because a goroutine that waits for the disk holds a mutex.
func TestSlowBallotStepsDown(t *testing.T) {
	c := newCluster(t, 19, "a", "b", "c")
	c.election = 100 * time.Millisecond
	c.startAll()
	defer c.stopAll()
	c.awaitApplied()
	name, _ := c.leader()
	hang := make(chan struct{})
	defer close(hang)
	c.nodes[name].disk.setBallotHang(hang)
	c.propose("k=x")
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(c.election) {
		for _, other := range c.others(name) {
			if m, _ := c.running(other); m.Leader() == other {
				return
			}
		}
	}
	t.Errorf("leader: got %s after 5 s with a hanging disk, want another member", name)
}

// A disk may become full within a batch of proposals that takes several writes. The
// leader could not take part again then, because its journal had more entries than it
// knew of: with one disk after another, the log had no quorum until a restart.
func TestLeaderResumesAfterPartOfBatch(t *testing.T) {
	withCluster(t, 21, func(t *testing.T, c *cluster) {
		for n := range 3 {
			name, m := c.leader()
			m.diskMu.Lock() // both proposals come into one batch
			var group sync.WaitGroup
			for i := range 2 {
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					command := fmt.Sprint("large", n, i, "=", strings.Repeat("x", maxCommandBytes-100))
					if _, _, err := m.Propose(ctx, []byte(command)); err == nil {
						t.Error("got a proposal accepted, want an error")
					}
				})
			}
			for queued := 0; queued < 2; runtime.Gosched() {
				m.mu.Lock()
				queued = len(m.queue)
				m.mu.Unlock()
			}
			c.nodes[name].disk.setFullAfter(1)
			m.diskMu.Unlock()
			time.Sleep(2 * time.Second)
			c.nodes[name].disk.setFull(false)
			time.Sleep(catchUpTime)
			group.Wait()
			if m.hasFailed() {
				t.Errorf("%s, %v after its disk had room again: got %s", name, catchUpTime, c.describe())
			}
		}
		c.awaitApplied()
	})
}

// While a member can't write, it still notes who leads. A late message of the leader of
// its own term, after the one of a later term, looked like a second leader of its term
// and stopped the member for good.
func TestLateMessageAfterStorageError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 22, "a", "b", "c")
		c.nodes["a"].disk.ballot = storedBallot(t, &wire.Ballot{Member: "a", Disk: "1", Started: true, Disks: map[string]string{"b": "2", "c": "3"}})
		c.start("a")
		defer c.stopAll()
		m := c.nodes["a"].member
		first := &wire.AppendRequest{Term: 9, Leader: "b", To: "a", Entries: []*wire.Entry{{Term: 9, Index: 1}}}
		if _, err := m.Append(t.Context(), first); err != nil {
			t.Fatal(err)
		}
		c.nodes["a"].disk.setFull(true)
		later := &wire.AppendRequest{Term: 10, Leader: "c", To: "a", Index: 1, Last: 9}
		for _, q := range []*wire.AppendRequest{{Term: 9, Leader: "b", To: "a", Index: 1, Last: 9, Entries: []*wire.Entry{{Term: 9, Index: 2}}}, later} {
			if _, err := m.Append(t.Context(), q); err == nil {
				t.Fatal("on a full disk: got no error")
			}
		}
		if got, want := m.Leader(), "c"; got != want {
			t.Errorf("on a full disk: got leader %q, want %q", got, want)
		}
		c.nodes["a"].disk.setFull(false)
		time.Sleep(time.Second)
		for _, q := range []*wire.AppendRequest{first, later} {
			if _, err := m.Append(t.Context(), q); err != nil {
				t.Errorf("after the disk has room, message of term %d: got %v, want none", q.Term, err)
			}
		}
	})
}
