package controller

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
)

// machine applies random commands to a controller and to a simple model of the
// tokens and claims of one account.
type machine struct {
	*harness
	sent      []*wire.Command // all commands, for replay
	succeeded []sentCommand   // commands that may be resent
	budget    int64
	topups    map[string]int64
	zones     map[string]int64
	epochs    map[string]uint64
	sequence  map[string]uint64
	attempts  map[string]string // state of the last granted attempt, by request
	closed    bool
}

type sentCommand struct {
	command *wire.Command
	result  []byte
	epoch   uint64 // set for grants
}

// send applies a command, keeps it for a resend if it succeeds, and returns the
// fault code.
func (m *machine) send(c *wire.Command, result proto.Message) string {
	m.sent = append(m.sent, proto.CloneOf(c))
	reply := m.apply(c)
	m.sent[len(m.sent)-1].Time = c.Time
	if reply.Fault == nil {
		m.succeeded = append(m.succeeded, sentCommand{c, reply.Result, c.GetGrant().GetEpoch()})
	}
	if result != nil && proto.Unmarshal(reply.Result, result) != nil {
		m.t.Fatalf("%v: cannot decode the result", c)
	}
	return reply.GetFault().GetCode()
}

// expect fails the test unless the command returns the given fault code.
func (m *machine) expect(t *rapid.T, c *wire.Command, code string, result proto.Message) {
	if got := m.send(c, result); got != code {
		t.Fatalf("%v: got %q, want %q", c, got, code)
	}
}

func (m *machine) unassigned() int64 {
	rest := m.budget
	for _, n := range m.topups {
		rest += n
	}
	for _, n := range m.zones {
		rest -= n
	}
	return rest
}

// check compares the pool with the model.
func (m *machine) check(t *rapid.T) {
	p := m.state.pools["mill"]
	unassigned := m.unassigned()
	if got := p.unassigned + p.refunded; got != unassigned || got < 0 {
		t.Fatalf("unassigned and refunded: got %d, want %d", got, unassigned)
	}
	for _, s := range p.shares {
		if s.amount != m.zones[s.zone] || s.amount < 0 {
			t.Fatalf("zone %s: got %d, want %d", s.zone, s.amount, m.zones[s.zone])
		}
	}
	if p.stopped {
		t.Fatal("account is stopped, want it active")
	}
}

func (m *machine) expectedCode(open string) string {
	if m.state.phase != Open {
		return "closed"
	}
	return open
}

func (m *machine) topup(t *rapid.T) {
	name, amount := rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "name"), rapid.Int64Range(1, 3).Draw(t, "amount")
	known, ok := m.topups[name]
	switch {
	case ok && known != amount:
		m.expect(t, topup(name, "mill", amount), "conflict", nil)
	case ok || m.state.phase == Open:
		m.expect(t, topup(name, "mill", amount), "", nil)
		m.topups[name] = amount
	default:
		m.expect(t, topup(name, "mill", amount), "closed", nil)
	}
}

func (m *machine) grant(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "zone")
	m.sequence[zone]++
	need, want, free := rapid.Int64Range(0, 50).Draw(t, "need"), rapid.Int64Range(0, 400).Draw(t, "want"), m.unassigned()
	_, isKnown := m.zones[zone]
	var result wire.GrantResult
	c := grant(zone, m.epochs[zone], m.sequence[zone], need, want)
	m.expect(t, c, m.expectedCode(""), &result)
	if m.state.phase != Open {
		return
	}
	// Checks only the bounds of the grant rule, not how it computes the amount.
	bound := max(free/2, min(need, free))
	if !isKnown && zone != "d" {
		bound = max(bound, min(m.budget/6, free))
	}
	if result.Amount > bound || result.Amount < 0 || need <= free && result.Amount < need {
		t.Fatalf("%v: got %d of %d tokens, want at most %d, and at least %d if available", c, result.Amount, free, bound, need)
	}
	m.zones[zone] += result.Amount
}

func (m *machine) release(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
	if m.zones[zone] == 0 || m.closed {
		return
	}
	m.sequence[zone]++
	amount := rapid.Int64Range(1, m.zones[zone]).Draw(t, "amount")
	m.expect(t, released(zone, m.epochs[zone], m.sequence[zone], amount), "", nil)
	m.zones[zone] -= amount
}

func (m *machine) renew(t *rapid.T) {
	zone := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
	m.sequence[zone]++
	var result wire.EpochResult
	if got := m.send(epoch(zone, m.epochs[zone], "x", m.sequence[zone]), &result); got == "" {
		m.epochs[zone] = result.Epoch
	} else if got != "closed" {
		t.Fatalf("epoch: got %q, want success or closed", got)
	}
}

func (m *machine) raiseBudget(t *rapid.T) {
	version := m.state.version()
	if m.state.phase != Open {
		return
	}
	m.budget += rapid.Int64Range(0, 100).Draw(t, "more")
	m.expect(t, configure(document(version+1, version, account.New("mill", m.budget))), "", nil)
}

func (m *machine) attempt(t *rapid.T) {
	request := rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "request")
	m.sequence["claims"]++
	attempt := m.sequence["claims"]
	var result wire.ClaimResult
	if got := m.send(claim(request, "d", "x", attempt), &result); got != "" && got != "closed" {
		t.Fatalf("claim: got %q, want success or closed", got)
	}
	if last, ok := m.attempts[request]; result.Granted && ok && last != "void" {
		t.Fatalf("request %s: granted after an attempt with outcome %s", request, last)
	}
	if result.Granted {
		m.attempts[request] = "open"
		if outcome := rapid.SampledFrom([]string{"open", "void", "ran"}).Draw(t, "outcome"); outcome != "open" {
			m.expect(t, resolve(request, "x", attempt, outcome == "ran"), "", nil)
			m.attempts[request] = outcome
		}
	}
}

// resend sends a command again that has succeeded. The pool must not change,
// and a grant must return the earlier result.
func (m *machine) resend(t *rapid.T) {
	if len(m.succeeded) == 0 {
		return
	}
	s := rapid.SampledFrom(m.succeeded).Draw(t, "command")
	m.sent = append(m.sent, proto.CloneOf(s.command))
	reply := m.apply(s.command)
	m.sent[len(m.sent)-1].Time = s.command.Time
	g := s.command.GetGrant()
	isFenced := g != nil && s.epoch != m.epochs[g.Zone]
	switch {
	case isFenced && reply.GetFault().GetCode() != "fenced":
		t.Fatalf("%v: got %v, want fenced", s.command, reply)
	case g != nil && !isFenced && !bytes.Equal(reply.Result, s.result):
		t.Fatalf("%v: got %v, want the earlier result", s.command, reply)
	case (s.command.GetTopup() != nil || s.command.GetConfigure() != nil || s.command.GetReleased() != nil) && (reply.Fault != nil || !bytes.Equal(reply.Result, s.result)):
		t.Fatalf("%v: got %v, want the earlier success", s.command, reply)
	}
}

func (m *machine) restart(t *rapid.T) {
	before := m.Snapshot()
	m.Controller = New(Config{})
	if err := m.Restore(before); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(m.Snapshot(), before) {
		t.Fatal("got a different snapshot after the restore, want the same")
	}
}

func (m *machine) finish(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "finish") > 0 {
		return
	}
	m.expect(t, dissolve(), "", nil)
	total := m.unassigned()
	var billed int64
	for _, n := range m.zones {
		billed += n
	}
	m.expect(t, closeCommand(&wire.Balance{Account: "mill", Prepaid: total + billed, Billed: billed, Refundable: total}), "", nil)
	m.closed = true
}

// Resent commands and restarts must not create or lose tokens or grant a claim
// twice, whenever they occur. Replaying the log must produce an identical
// snapshot.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &machine{harness: newHarness(t), budget: 1200, topups: map[string]int64{}, zones: map[string]int64{},
			epochs: map[string]uint64{}, sequence: map[string]uint64{}, attempts: map[string]string{}}
		m.expect(r, configure(document(1, 0, account.New("mill", m.budget))), "", nil)
		r.Repeat(map[string]func(*rapid.T){
			"topup": m.topup, "grant": m.grant, "release": m.release, "renew": m.renew, "raise": m.raiseBudget,
			"attempt": m.attempt, "resend": m.resend, "restart": m.restart, "finish": m.finish, "": m.check,
		})
		replayed := New(Config{})
		for i, c := range m.sent {
			replayed.Apply(uint64(i+1), encode(c))
		}
		if !bytes.Equal(replayed.Snapshot(), m.Snapshot()) {
			r.Fatal("got a different snapshot after the replay, want the same")
		}
	})
}

// Snapshots must not depend on the order of commands for different accounts, so
// that equal states of members have equal snapshots.
func TestSnapshotIsSorted(t *testing.T) {
	accounts := []account.Account{account.New("mill", 9), account.New("bakery", 9), account.New("inn", 9)}
	var want []byte
	for i := range 2 {
		h := newHarness(t)
		h.must(configure(document(1, 0, accounts...)))
		names := []string{"mill", "bakery", "inn"}
		if i == 1 {
			slices.Reverse(names)
		}
		for _, n := range names {
			h.must(topup("for-"+n, n, 1))
		}
		if i == 0 {
			want = h.Snapshot()
		} else if got := h.Snapshot(); !bytes.Equal(got, want) {
			t.Errorf("got\n%q\nwant\n%q", got, want)
		}
	}
}

// Snapshots may be corrupted on the network or on disk. Restoring a corrupt
// snapshot must return an error and never panic.
func FuzzRestore(f *testing.F) {
	h := newHarness(f)
	h.must(configure(document(1, 0, account.New("mill", 1200))))
	h.must(topup("t", "mill", 5))
	h.must(grant("a", 1, 1, 0, 0))
	h.must(released("a", 1, 1, 10))
	h.must(claim("r", "d", "x", 1))
	h.must(resolve("r", "x", 1, true))
	h.must(dissolve())
	snapshot := h.Snapshot()
	f.Add(snapshot[len(snapshotHeader) : len(snapshot)-sha256.Size])
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, records []byte) {
		c := New(Config{})
		if err := c.Restore(records); err != nil && c.Configuration() != nil {
			t.Fatal("a rejected snapshot changed the state, want it unchanged")
		}
		// The checksum rejects nearly all inputs, so decode the records directly.
		s := newState(c.config.Logger)
		if s.decode(records) != nil {
			return
		}
		again, err := restore(s.snapshot(), c.config.Logger)
		if err != nil || !bytes.Equal(again.snapshot(), s.snapshot()) {
			t.Fatalf("second restore: got error %v, want the same snapshot", err)
		}
		for name, p := range s.pools {
			if !p.stopped && !p.isConsistent() {
				t.Fatal(fmt.Sprint("accepted inconsistent pool ", name))
			}
		}
	})
}
