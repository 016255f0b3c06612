package replicator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/fault"
)

// TestMain fixes the seed and the number of checks unless -rapid.seed and
// -rapid.checks are given, and checks for leaked goroutines.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// Runs clients under random faults and checks for two leaders in a term, lost
// acknowledged proposals, applied proposals that were reported as not
// accepted, stale reads and diverging members.
func TestRandom(t *testing.T) {
	for _, names := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		t.Run(fmt.Sprint(len(names)), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				seed, steps := rapid.Uint64().Draw(rt, "seed"), drawSteps(rt, len(names))
				failed := true
				synctest.Test(t, func(t *testing.T) {
					defer func() { failed = t.Failed() }()
					runFaults(t, names, seed, steps)
				})
				if failed {
					rt.Fatalf("failed with seed %d and steps %v", seed, steps)
				}
			})
		})
	}
}

type step struct {
	Fault    int
	Node     int
	Other    int
	Duration int // ms
	Repair   bool
}

func drawSteps(rt *rapid.T, nodes int) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Fault: rapid.IntRange(0, 11).Draw(rt, "fault"), Node: rapid.IntRange(0, nodes-1).Draw(rt, "node"),
			Other: rapid.IntRange(0, nodes-1).Draw(rt, "other"), Duration: rapid.IntRange(0, 2000).Draw(rt, "ms"),
			Repair: rapid.IntRange(0, 2).Draw(rt, "repair") == 2,
		}
	}), 10, 40).Draw(rt, "steps")
}

func runFaults(t *testing.T, names []string, seed uint64, steps []step) {
	c := newCluster(t, seed, names...)
	c.snapshotEvery = 20
	c.startAll()
	defer c.stopAll()
	ctx, cancel := context.WithCancel(context.Background())
	clients := &clients{c: c}
	for id := range 4 {
		clients.group.Go(func() { clients.run(ctx, id) })
	}
	defer clients.group.Wait()
	defer cancel()
	if seed%4 > 0 { // otherwise the faults begin before the first start
		c.awaitApplied()
	}
	for _, s := range steps {
		c.inject(s)
		time.Sleep(time.Duration(s.Duration) * time.Millisecond)
		if s.Repair {
			c.repair()
		}
		for _, name := range names {
			if c.nodes[name].disk.isCrashed() {
				c.crash(name)
			}
		}
	}
	clients.mu.Lock()
	t.Logf("%d acknowledged writes, %d unknown under faults", len(clients.accepted), clients.unknown)
	clients.mu.Unlock()
	c.repair()
	c.awaitApplied()
	time.Sleep(2 * time.Second)
	cancel()
	clients.group.Wait()
	c.awaitApplied()
	clients.check()
}

// inject starts or ends a fault.
func (c *cluster) inject(s step) {
	name, other := c.names[s.Node], c.names[s.Other]
	switch s.Fault {
	case 0:
		c.isolate(name, true)
	case 1:
		c.setLink(name, other, true)
	case 2:
		c.restoreLinks()
	case 3:
		c.crash(name)
	case 4:
		c.nodes[name].disk.crashAfter(1 + s.Duration%7)
	case 5:
		c.start(name)
		c.unfreeze(other)
	case 6:
		c.freeze(name)
	case 7:
		if c.canLoseDisk(name) {
			c.loseDisk(name)
			c.start(name)
		}
	case 8:
		if m, _ := c.running(name); m != nil {
			go func() { _ = m.Transfer(context.Background()) }()
		}
	case 9:
		c.setNetworkFaults(time.Duration(s.Duration)*time.Millisecond/10, 0.2)
	case 10:
		c.nodes[name].disk.setFull(true)
		c.nodes[other].disk.setFull(false)
	case 11:
		c.nodes[name].disk.setSyncFailure(true)
		c.nodes[other].disk.setSyncFailure(false)
	}
}

func (c *cluster) restoreLinks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.blocked)
}

func (c *cluster) setNetworkFaults(delay time.Duration, repeats float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxDelay, c.duplicateRate = delay, repeats
}

// repair ends all faults.
func (c *cluster) repair() {
	c.restoreLinks()
	c.setNetworkFaults(0, 0)
	for _, name := range c.names {
		c.unfreeze(name)
		c.nodes[name].disk.crashAfter(0)
		c.nodes[name].disk.setFull(false)
		c.nodes[name].disk.setSyncFailure(false)
		if c.nodes[name].disk.isCrashed() {
			c.crash(name)
		}
		c.start(name)
	}
}

// canLoseDisk reports whether the log survives the loss of this disk: a
// majority of the committed voters keeps its disk.
func (c *cluster) canLoseDisk(name string) bool {
	present := map[string]bool{}
	var voters []string
	for _, n := range c.names {
		m, _ := c.running(n)
		if m == nil {
			continue
		}
		m.mu.Lock()
		if n != name && m.ballot.Started {
			present[m.ballot.Member] = true
		}
		if latest := len(m.memberships) - 1; m.leading != nil && m.leading.firstIndex > 0 && m.commit >= max(m.leading.firstIndex, m.memberships[latest].index) && m.quorumActive(m.members().Voters) {
			voters = m.memberships[latest].members.Voters
		}
		m.mu.Unlock()
	}
	return len(voters) == len(c.names) && hasMajority(voters, func(v string) bool { return present[v] })
}

// clients use the log as a set of registers and record the results.
type clients struct {
	c     *cluster
	group sync.WaitGroup
	clock atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
	accepted   map[uint64]string
	rejected   []string
	unknown    int
}

type operation struct {
	key, value string // value of a write
	write      bool
}

func (k *clients) run(ctx context.Context, id int) {
	for i := 0; ctx.Err() == nil; i++ {
		random := k.c.uint64()
		m, _ := k.c.running(k.c.names[random%uint64(len(k.c.names))])
		a := operation{key: fmt.Sprint("k", i/25), write: random>>32%2 == 0, value: fmt.Sprint(id, ".", i)}
		if m != nil {
			call, cancel := context.WithTimeout(ctx, 2*time.Second)
			k.do(call, id, m, a)
			cancel()
		}
		time.Sleep(time.Duration(k.c.uint64() % uint64(20*time.Millisecond)))
	}
}

func (k *clients) do(ctx context.Context, id int, m *Replicator, a operation) {
	op := porcupine.Operation{ClientId: id, Input: a, Call: k.clock.Add(1)}
	if a.write {
		command := a.key + "=" + a.value
		index, _, err := m.Propose(ctx, []byte(command))
		op.Return = k.clock.Add(1)
		k.mu.Lock()
		defer k.mu.Unlock()
		switch {
		case err == nil:
			if k.accepted == nil {
				k.accepted = map[uint64]string{}
			}
			k.accepted[index] = command
		case errors.Is(err, fault.Uncertain):
			k.unknown++
			op.Return = 1 << 60
			op.ClientId = 100 + len(k.operations) // it may overlap later calls of the same client
		case errors.Is(err, fault.Isolated):
			k.rejected = append(k.rejected, command)
			return
		default:
			k.c.t.Errorf("propose: got %v, want uncertain or isolated", err)
		}
		k.operations = append(k.operations, op)
		return
	}
	if m.Barrier(ctx) != nil {
		return
	}
	op.Output = k.c.stateOf(m).get(a.key)
	op.Return = k.clock.Add(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.operations = append(k.operations, op)
}

// stateOf returns the state that a member applies commands to.
func (c *cluster) stateOf(m *Replicator) *state {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.states[m]
}

var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			parts[key] = append(parts[key], op)
		}
		var out [][]porcupine.Operation
		for _, part := range parts {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if a := input.(operation); a.write {
			return true, a.value
		}
		return output == state, state
	},
}

// check compares the results seen by clients with the applied commands and
// checks linearizability.
func (k *clients) check() {
	c := k.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for index, command := range k.accepted {
		if got := string(c.history[index]); got != command {
			c.t.Errorf("index %d: acknowledged %q, applied %q", index, command, got)
		}
	}
	for _, command := range c.history {
		if slices.Contains(k.rejected, string(command)) {
			c.t.Errorf("got %q applied, want it not applied as reported", command)
		}
	}
	for _, name := range c.names {
		got, want := c.nodes[name].state, c.nodes[c.names[0]].state
		if got.Applied == want.Applied && (got.Sum != want.Sum || got.Count != want.Count) {
			c.t.Errorf("%s: got state %x after %d commands, want %x after %d", name, got.Sum, got.Count, want.Sum, want.Count)
		}
		if err := c.nodes[name].member.failed; err != nil && !strings.Contains(err.Error(), errDisk.Error()) {
			c.t.Errorf("%s: got member stopped by %v, want only disk failures", name, err)
		}
	}
	if got := porcupine.CheckOperationsTimeout(registers, k.operations, time.Minute); got != porcupine.Ok {
		c.t.Errorf("linearizability of %d operations: got %v, want Ok", len(k.operations), got)
	}
	c.t.Logf("%d operations, %d acknowledged writes, %d entries", len(k.operations), len(k.accepted), len(c.history))
}
