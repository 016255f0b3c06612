package controller

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
)

// fakeCluster fakes a log with three members, the first of which is the leader.
type fakeCluster struct {
	mu        sync.Mutex
	members   []*Controller
	log       [][]byte
	dropReply func() bool // reports whether to drop the reply to a proposal
}

func newFakeCluster() *fakeCluster {
	f := &fakeCluster{dropReply: func() bool { return false }}
	for i := range 3 {
		f.members = append(f.members, New(Config{
			Replicate: func(_ context.Context, command []byte) (uint64, []byte, error) { return f.replicate(i, command) },
			Barrier: func(context.Context) error {
				if i != 0 {
					return eris.Wrap(fault.Isolated, "not the leader")
				}
				return nil
			},
			Leader: func() string { return "0" },
			Forward: func(ctx context.Context, _ string, r *wire.ProposeRequest) (*wire.ProposeReply, error) {
				return f.members[0].Propose(ctx, r)
			},
			Zones: []string{"a", "b"},
			Now:   func() time.Time { return time.Unix(0, 42) },
		}))
	}
	return f
}

func (f *fakeCluster) replicate(member int, command []byte) (uint64, []byte, error) {
	if member != 0 {
		return 0, nil, eris.Wrap(fault.Isolated, "not the leader")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, command)
	var result []byte
	for _, m := range f.members {
		result = m.Apply(uint64(len(f.log)), command)
	}
	if f.dropReply() {
		return 0, nil, eris.Wrap(fault.Isolated, "reply lost")
	}
	return uint64(len(f.log)), result, nil
}

// propose sends a command to a member until it gets a definite reply.
func (f *fakeCluster) propose(t testing.TB, member int, command *wire.Command) *wire.ProposeReply {
	t.Helper()
	for {
		reply, err := f.members[member].Propose(t.Context(), &wire.ProposeRequest{Command: command})
		if err != nil {
			t.Fatal(err)
		}
		if reply.GetFault().GetCode() != fault.Isolated.Code() {
			return reply
		}
	}
}

// A follower must forward proposals, and the leader must set their time and
// zones, or the members diverge.
func TestPropose(t *testing.T) {
	f := newFakeCluster()
	command := configure(document(1, 0, account.New("mill", 1200)))
	command.GetConfigure().Zones = nil
	command.Time = 7
	reply := f.propose(t, 2, command)
	if reply.Fault != nil || reply.Index != 1 {
		t.Fatalf("got %v, want index 1", reply)
	}
	if got := f.members[2].state.time; got != 42 {
		t.Errorf("time: got %d, want 42", got)
	}
	var granted wire.GrantResult
	decode(t, f.propose(t, 1, grant("a", 1, 1, 0, 0)).Result, &granted)
	if got := granted.Amount; got != 300 {
		t.Errorf("first grant to one of two zones: got %d, want 300", got)
	}
	if reply, err := f.members[0].Propose(t.Context(), &wire.ProposeRequest{}); err != nil || reply.Fault.Code != "malformed" {
		t.Errorf("without a command: got %v %v, want malformed", reply, err)
	}
	f.dropReply = func() bool { return true }
	if reply, err := f.members[1].Propose(t.Context(), &wire.ProposeRequest{Command: command}); err != nil || reply.Fault.Code != "isolated" {
		t.Errorf("lost reply: got %v %v, want isolated", reply, err)
	}
}

// Reads must be linearizable by default, or an operator sees a stale state as
// the current one.
func TestRead(t *testing.T) {
	f := newFakeCluster()
	text := document(1, 0, account.New("mill", 1200), account.New("bakery", 5), account.New("inn", 5))
	f.propose(t, 0, configure(text))
	f.propose(t, 0, grant("a", 1, 1, 0, 0))
	f.propose(t, 0, claim("r", "d", "x", 1))
	read := func(member int, r *wire.ReadRequest) *wire.ReadReply {
		reply, err := f.members[member].Read(t.Context(), r)
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	if got := read(1, &wire.ReadRequest{}).GetFault().GetCode(); got != "isolated" {
		t.Errorf("follower: got %q, want isolated", got)
	}
	reply := read(1, &wire.ReadRequest{Stale: true, Document: true, Pools: true, Account: "mill", Request: "r"})
	if reply.Version != 1 || !bytes.Equal(reply.Document, text) || reply.Phase != Open || reply.Index != 3 || reply.Epochs["a"] != 1 || reply.Leader != "0" {
		t.Errorf("stale read of a follower: got %v, want version 1 at index 3", reply)
	}
	if len(reply.Pools) != 1 || reply.Pools[0].Zones["a"] != 200 {
		t.Errorf("pools: got %v, want 200 tokens in zone a", reply.Pools)
	}
	if reply.Claim.GetInstance() != "x" || reply.Claim.Resolved {
		t.Errorf("claim: got %v, want an open claim of x", reply.Claim)
	}
	page := read(0, &wire.ReadRequest{Pools: true, Offset: 1, Limit: 1}).Pools
	if len(page) != 1 || page[0].Account != "inn" {
		t.Errorf("page: got %v, want inn", page)
	}
	if got := read(0, &wire.ReadRequest{Pools: true, Offset: 9}).Pools; len(got) != 0 {
		t.Errorf("page past the end: got %v, want none", got)
	}
}

// submission is an attempt to submit a version.
type submission struct {
	version uint64
	content int64
}

// versionModel specifies concurrent submissions: a version is accepted if it is
// the next one, or if it was already accepted with the same content.
var versionModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		accepted, c := state.(string), input.(submission)
		line := fmt.Sprintf("%03d=%03d;", c.version, c.content)
		at := int(c.version-1) * len(line)
		switch {
		case at == len(accepted):
			return output.(bool), accepted + line
		case at < len(accepted) && accepted[at:at+len(line)] == line:
			return output.(bool), accepted
		}
		return !output.(bool), accepted
	},
}

// At most one of several operators who submit different content for a version
// may be told that it was accepted.
func TestRacingOperators(t *testing.T) {
	const operators, rounds = 4, 25
	f := newFakeCluster()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	f.dropReply = func() bool {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(3) == 0
	}
	start := time.Now()
	history := make([][]porcupine.Operation, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			for v := uint64(1); v <= rounds; v++ {
				c := submission{v, int64(i + 1)}
				command := configure(document(v, v-1, account.New("mill", 100).WithWeight(c.content)))
				call := time.Since(start).Nanoseconds()
				reply := f.propose(t, i%3, command)
				history[i] = append(history[i], porcupine.Operation{ClientId: i, Input: c, Call: call,
					Output: reply.Fault == nil, Return: time.Since(start).Nanoseconds()})
				if reply.Fault != nil && reply.Fault.Code != "conflict" {
					t.Errorf("version %d: got %v, want success or a conflict", v, reply.Fault)
				}
			}
		})
	}
	wait.Wait()
	winners := map[uint64]int{}
	var all []porcupine.Operation
	for _, operations := range history {
		for _, o := range operations {
			all = append(all, o)
			if o.Output.(bool) {
				winners[o.Input.(submission).version]++
			}
		}
	}
	for v := uint64(1); v <= rounds; v++ {
		if winners[v] != 1 {
			t.Errorf("version %d: got %d winners, want 1", v, winners[v])
		}
	}
	if got := porcupine.CheckOperationsTimeout(versionModel, all, 20*time.Second); got != porcupine.Ok {
		t.Errorf("history: got %v, want %v", got, porcupine.Ok)
	}
	for i, m := range f.members[1:] {
		if !bytes.Equal(m.Snapshot(), f.members[0].Snapshot()) {
			t.Errorf("member %d differs from member 0", i+1)
		}
	}
}
