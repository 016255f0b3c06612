package replicator

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// A log of five voters must bear two losses at a time, also if members that fill
// free places are among the lost ones.
func TestTwoLossesAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		pairs := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) [2]loss {
			draw := func() loss {
				return loss{
					Kind: rapid.IntRange(0, len(lossKinds)-1).Draw(rt, "kind"), Leader: rapid.Bool().Draw(rt, "leader"),
					Member: rapid.IntRange(0, 4).Draw(rt, "member"), Millis: rapid.IntRange(50, 6000).Draw(rt, "ms"),
				}
			}
			return [2]loss{draw(), draw()}
		}), 1, 6).Draw(rt, "pairs")
		failed := true
		synctest.Test(t, func(t *testing.T) {
			defer func() { failed = t.Failed() }()
			runPairs(t, seed, pairs)
		})
		if failed {
			rt.Fatalf("failed with seed %d and pairs %+v", seed, pairs)
		}
	})
}

func runPairs(t *testing.T, seed uint64, pairs [][2]loss) {
	c := newCluster(t, seed, "a", "b", "c", "d", "e", "f")
	c.allowJoin, c.initialMembers, c.voterCount, c.snapshotEvery = true, c.names[:3], 5, 20
	c.startAll()
	defer c.stopAll()
	c.awaitVoterCount(5)
	for n, pair := range pairs {
		leader, _ := c.leader()
		others := c.others(leader)
		first, second := others[pair[0].Member], others[pair[1].Member]
		if pair[0].Leader {
			first = leader
		}
		if second == first {
			second = others[(pair[1].Member+1)%len(others)]
		}
		var group sync.WaitGroup
		for i, name := range []string{first, second} {
			l := pair[i]
			group.Go(func() { lossKinds[l.Kind].run(c, name, time.Duration(l.Millis)*time.Millisecond) })
		}
		when := fmt.Sprintf("%s of %s for %d ms and %s of %s for %d ms", lossKinds[pair[0].Kind].name, first, pair[0].Millis, lossKinds[pair[1].Kind].name, second, pair[1].Millis)
		c.proposeWithin(fmt.Sprint("during", n, "=x"), when)
		group.Wait()
		time.Sleep(catchUpTime)
	}
	c.proposeWithin("end=x", "the end")
}

// awaitVoterCount waits until the log has grown to the number of voters.
func (c *cluster) awaitVoterCount(want int) {
	c.t.Helper()
	for range 500 {
		_, m := c.leader()
		if _, _, voters := m.Status(); len(voters) == want {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("voters: got fewer than %d after 10 s: %s", want, c.describe())
}
