package replicator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc64"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

// cluster runs real replicators over a simulated network and fake disks
// inside a synctest bubble, where time advances only while all goroutines are
// blocked.
type cluster struct {
	t              testing.TB
	mu             sync.Mutex
	random         *rand.Rand
	nodes          map[string]*node
	names          []string
	blocked        map[[2]string]bool // one-way links that drop messages
	maxDelay       time.Duration      // maximum message delay
	duplicateRate  float64            // fraction of requests delivered twice
	election       time.Duration
	snapshotEvery  uint64 // SnapshotEvery
	allowJoin      bool   // instances outside initialMembers join on their own
	initialMembers []string
	known          []string // instances that all are told of, nil for initialMembers
	voterCount     int
	installs       atomic.Int64
	logger         *zap.Logger
	states         map[*Replicator]*state
	history        [][]byte // commands by index, as first applied
}

// node is one instance. Its disk survives a crash; the replicator does not.
type node struct {
	name    string
	disk    *fakeDisk
	member  *Replicator
	state   *state
	cancel  context.CancelFunc
	done    chan struct{}
	resumed chan struct{} // closed while the process is running
	joins   bool          // joins although it is an initial member, since its disk was lost
}

// state is the applied state: key-value registers and a running checksum of
// all commands.
type state struct {
	mu      sync.Mutex
	c       *cluster
	Applied uint64
	Count   uint64
	Sum     uint64
	Values  map[string]string
}

var crcTable = crc64.MakeTable(crc64.ECMA)

// withCluster calls f in a synctest bubble with a three-member cluster that
// has a leader.
func withCluster(t *testing.T, seed uint64, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, "a", "b", "c")
		c.startAll()
		defer c.stopAll()
		c.awaitApplied()
		f(t, c)
	})
}

func newCluster(t testing.TB, seed uint64, names ...string) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, names: names, blocked: map[[2]string]bool{}, states: map[*Replicator]*state{}, snapshotEvery: 50, election: defaultElectionTimeout, logger: zap.NewNop()}
	for _, name := range names {
		c.nodes[name] = &node{name: name, disk: newDisk(t, seed), resumed: closedChan()}
	}
	return c
}

func closedChan() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

func (c *cluster) startAll() {
	for _, name := range c.names {
		c.start(name)
	}
}

func (c *cluster) stopAll() {
	for _, name := range c.names {
		c.unfreeze(name)
		c.crash(name)
	}
}

// start runs a process of the node with its existing disk.
func (c *cluster) start(name string) {
	c.t.Helper()
	n := c.node(name)
	c.mu.Lock()
	running, members := n.cancel != nil, c.names
	c.mu.Unlock()
	if running {
		return
	}
	if !slices.Contains(members, name) {
		members = append(slices.Clone(members), name)
	}
	join := c.allowJoin && (n.joins || !slices.Contains(c.initialMembers, name))
	if join {
		members = nil
	} else if c.allowJoin {
		members = c.initialMembers
	}
	replaceAfter := time.Duration(0)
	if c.allowJoin {
		replaceAfter = 6 * c.election
	}
	d, s := n.disk, &state{c: c, Values: map[string]string{}}
	d.restart()
	member, err := New(Config{
		Name: name, Members: members, Path: d.path,
		Join: join, Seeds: c.seeds, VoterCount: c.voterCount, ReplaceAfter: replaceAfter,
		Apply: s.apply, Snapshot: s.snapshot, Restore: s.restore,
		Vote: func(ctx context.Context, peer string, q *wire.VoteRequest) (*wire.VoteReply, error) {
			return send(ctx, c, name, peer, q, (*Replicator).Vote)
		},
		Append: func(ctx context.Context, peer string, q *wire.AppendRequest) (*wire.AppendReply, error) {
			return send(ctx, c, name, peer, q, (*Replicator).Append)
		},
		Install: func(ctx context.Context, peer string, q *wire.InstallRequest) (*wire.InstallReply, error) {
			c.installs.Add(1)
			return send(ctx, c, name, peer, q, (*Replicator).Install)
		},
		After:  func(d time.Duration) <-chan time.Time { return c.after(n, d) },
		Random: c.uint64, Journal: d.open, Load: d.load, Store: d.store,
		HeartbeatInterval: c.election / 5, ElectionTimeout: c.election, SnapshotEvery: c.snapshotEvery, ChunkSize: 64, Logger: c.logger,
	})
	if err != nil && d.isFaulty() {
		return // the process ends, and is started again later
	}
	if err != nil {
		c.t.Fatalf("start %s: %v", name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c.mu.Lock()
	n.member, n.state, n.cancel, n.done = member, s, cancel, done
	c.states[member] = s
	c.mu.Unlock()
	go func() {
		defer close(done)
		member.Run(ctx)
	}()
}

// crash ends the process. Unsynced writes are lost in part.
func (c *cluster) crash(name string) {
	c.mu.Lock()
	n := c.nodes[name]
	cancel, done := n.cancel, n.done
	if cancel == nil {
		c.mu.Unlock()
		return
	}
	n.disk.crash()
	n.member, n.cancel = nil, nil
	c.mu.Unlock()
	c.unfreeze(name)
	cancel()
	<-done
}

// loseDisk crashes the node and replaces its disk with an empty one.
func (c *cluster) loseDisk(name string) {
	c.crash(name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name].disk = newDisk(c.t, c.random.Uint64())
}

func (c *cluster) freeze(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	select {
	case <-n.resumed:
		if n.cancel != nil {
			n.resumed = make(chan struct{})
		}
	default: // already frozen
	}
}

func (c *cluster) unfreeze(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[name]
	select {
	case <-n.resumed:
	default:
		close(n.resumed)
	}
}

// running returns the replicator of a node, nil if it is down, and the
// channel on which a frozen process blocks.
func (c *cluster) running(name string) (*Replicator, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nodes[name] == nil {
		return nil, closedChan()
	}
	return c.nodes[name].member, c.nodes[name].resumed
}

func (c *cluster) uint64() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Uint64()
}

// leader waits until a running member leads and can commit.
func (c *cluster) leader() (string, *Replicator) {
	c.t.Helper()
	for range 2000 {
		for _, name := range c.names {
			if m, _ := c.running(name); m != nil && m.Leader() == name {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				err := m.Barrier(ctx)
				cancel()
				if err == nil {
					return name, m
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("got no leader within 40 s: %s", c.describe())
	return "", nil
}

// describe returns the state of all members for failure messages.
func (c *cluster) describe() string {
	var text strings.Builder
	for _, name := range c.names {
		m, _ := c.running(name)
		if m == nil {
			fmt.Fprintf(&text, "\n%s is down", name)
			continue
		}
		m.mu.Lock()
		fmt.Fprintf(&text, "\n%s: %v leading %t last %d commit %d applied %d members %v failed %v", name, m.ballot, m.leading != nil, m.log.last(), m.commit, m.applied, m.members(), m.failed)
		m.mu.Unlock()
	}
	return text.String()
}

// propose retries a command until a leader acknowledges it.
func (c *cluster) propose(command string) uint64 {
	c.t.Helper()
	var last error
	for range 1000 {
		_, m := c.leader()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		index, _, err := m.Propose(ctx, []byte(command))
		cancel()
		if err == nil {
			return index
		}
		last = err
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("propose %q: got no acknowledgment, last error %v: %s", command, last, c.describe())
	return 0
}

// awaitApplied commits an entry and waits until all nodes have applied it.
func (c *cluster) awaitApplied() {
	c.t.Helper()
	index := c.propose("settle")
	for range 3000 {
		behind := 0
		for _, name := range c.names {
			if n := c.nodes[name]; n.cancel == nil || n.state.index() < index {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("entry %d not applied by all members within 60 s: %s", index, c.describe())
}

// record checks that all members apply the same command at each index.
func (c *cluster) record(index uint64, command []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for uint64(len(c.history)) <= index {
		c.history = append(c.history, nil)
	}
	if c.history[index] != nil && !bytes.Equal(c.history[index], command) {
		c.t.Errorf("index %d: got command %q, want %q as applied by another member", index, command, c.history[index])
	}
	c.history[index] = bytes.Clone(command)
}

// apply executes a command "key=value" and returns the previous value.
func (s *state) apply(index uint64, command []byte) []byte {
	s.c.record(index, command)
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.Applied {
		s.c.t.Errorf("applied index: got %d after %d, want a higher one", index, s.Applied)
	}
	key, value, _ := strings.Cut(string(command), "=")
	old := s.Values[key]
	s.Values[key] = value
	s.Applied = index
	s.Count++
	sum := crc64.Checksum(fmt.Append(nil, s.Sum, index, string(command)), crcTable)
	s.Sum = sum
	return []byte(old)
}

func (s *state) snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := json.Marshal(s)
	if err != nil {
		s.c.t.Errorf("snapshot: %v", err)
	}
	return data
}

func (s *state) restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Values = nil
	return json.Unmarshal(data, s)
}

func (s *state) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Values[key]
}

func (s *state) index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Applied
}

// others returns the names of all nodes except the given one.
func (c *cluster) others(name string) []string {
	return slices.DeleteFunc(slices.Clone(c.names), func(n string) bool { return n == name })
}

func (c *cluster) node(name string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// seeds returns the instances that all instances are told of.
func (c *cluster) seeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known != nil {
		return slices.Clone(c.known)
	}
	return c.initialMembers
}
