package replicator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	// ackBound is the time after the beginning of a loss within which a change
	// must be acknowledged: the members count as unsettled for 3 s, and then
	// have 4 s.
	ackBound = 7 * time.Second
	// seedLag is the delay until instances are told of others.
	seedLag = 3 * time.Second
)

// loss is the loss of one instance for a time.
type loss struct {
	Kind   int
	Leader bool
	Member int // among the followers
	Millis int
}

// lossKinds are the ways to lose an instance. Each returns when it is back, or,
// if it is lost for good, when its successor has started.
var lossKinds = []struct {
	name string
	run  func(c *cluster, name string, d time.Duration)
}{
	{"full disk", func(c *cluster, name string, d time.Duration) {
		c.node(name).disk.setFull(true)
		time.Sleep(d)
		c.node(name).disk.setFull(false)
	}},
	{"failed syncs", func(c *cluster, name string, d time.Duration) {
		c.node(name).disk.setSyncFailure(true)
		time.Sleep(d)
		c.node(name).disk.setSyncFailure(false)
	}},
	{"crash", func(c *cluster, name string, d time.Duration) {
		c.crash(name)
		time.Sleep(d)
		c.start(name)
	}},
	{"freeze", func(c *cluster, name string, d time.Duration) {
		c.freeze(name)
		time.Sleep(d)
		c.unfreeze(name)
	}},
	{"partition", func(c *cluster, name string, d time.Duration) {
		c.isolate(name, true)
		time.Sleep(d)
		c.isolate(name, false)
	}},
	{"lost disk", func(c *cluster, name string, d time.Duration) {
		c.loseDisk(name)
		c.node(name).joins = true
		time.Sleep(d)
		c.start(name)
	}},
	{"replacement", func(c *cluster, name string, d time.Duration) {
		c.crash(name)
		time.Sleep(d)
		c.replace(name)
	}},
}

// replace starts an empty instance with another name in place of one that is
// down. The others are told of it with a lag.
func (c *cluster) replace(name string) {
	disk := newDisk(c.t, c.uint64())
	c.mu.Lock()
	next := fmt.Sprint(name[:1], len(c.nodes))
	c.nodes[next] = &node{name: next, disk: disk, resumed: closedChan(), joins: true}
	c.names = append(slices.DeleteFunc(slices.Clone(c.names), func(n string) bool { return n == name }), next)
	names := slices.Clone(c.names)
	c.mu.Unlock()
	c.start(next)
	time.AfterFunc(seedLag, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.known = names
	})
}

// A log that tolerates one loss must bear one loss after another, whatever the
// kinds, if each instance has had the time to catch up. A member that is left out
// after a loss, or a membership change that doesn't end, shows at the next one.
func TestOneLossAtATime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		losses := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) loss {
			return loss{
				Kind: rapid.IntRange(0, len(lossKinds)-1).Draw(rt, "kind"), Leader: rapid.Bool().Draw(rt, "leader"),
				Member: rapid.IntRange(0, 1).Draw(rt, "member"), Millis: rapid.IntRange(50, 6000).Draw(rt, "ms"),
			}
		}), 1, 8).Draw(rt, "losses")
		failed := true
		synctest.Test(t, func(t *testing.T) {
			defer func() { failed = t.Failed() }()
			runLosses(t, seed, losses)
		})
		if failed {
			rt.Fatalf("failed with seed %d and losses %+v", seed, losses)
		}
	})
}

// Leaders that are lost for good one after the other, each with a successor that
// starts at once, must be replaced as soon as other voters. Otherwise the first
// is still a voter at the loss of the second, and two of three voters are gone.
func TestLostLeaderIsReplacedInTime(t *testing.T) {
	replacement := len(lossKinds) - 1
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runLosses(t, seed, []loss{{Kind: replacement, Leader: true, Millis: 51}, {Kind: replacement, Leader: true, Millis: 224}})
			})
		})
	}
}

func runLosses(t *testing.T, seed uint64, losses []loss) {
	c := newCluster(t, seed, "a", "b", "c")
	c.allowJoin, c.initialMembers, c.voterCount, c.snapshotEvery = true, c.names, 3, 20
	c.startAll()
	defer c.stopAll()
	c.awaitApplied()
	for n, l := range losses {
		name, _ := c.leader()
		if !l.Leader {
			name = c.others(name)[l.Member]
		}
		kind := lossKinds[l.Kind]
		d := time.Duration(l.Millis) * time.Millisecond
		done := make(chan struct{})
		go func() {
			defer close(done)
			kind.run(c, name, d)
		}()
		c.proposeWithin(fmt.Sprint("during", n, "=x"), fmt.Sprintf("%s of %s for %v", kind.name, name, d))
		<-done
		time.Sleep(catchUpTime)
	}
	c.proposeWithin("end=x", "the end")
	time.Sleep(time.Second)
	c.awaitApplied()
}

// proposeWithin fails the test unless a command is acknowledged within ackBound. Like an
// operator, it asks one instance after the other.
func (c *cluster) proposeWithin(command, when string) {
	c.t.Helper()
	start := time.Now()
	for n := 0; time.Since(start) < ackBound; n++ {
		c.mu.Lock()
		name := c.names[n%len(c.names)]
		c.mu.Unlock()
		m, _ := c.running(name)
		if m != nil {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _, err := m.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatalf("%s: no acknowledgment within %v: %s", when, ackBound, c.describe())
}
