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

// machine drives a controller with random commands next to a simple model of
// one account's tokens and of the claims.
type machine struct {
	*bench
	sent     []*wire.Command // all commands, for the replay
	settled  []sent          // commands that succeeded, to be resent
	budget   int64
	topups   map[string]int64
	zones    map[string]int64
	epochs   map[string]uint64
	sequence map[string]uint64
	attempts map[string]string // request: state of the last granted attempt
	closed   bool
}

type sent struct {
	command *wire.Command
	result  []byte
	epoch   uint64 // of a grant
}

// send applies a command and keeps it for a resend if it succeeds.
func (m *machine) send(c *wire.Command, result proto.Message) string {
	m.sent = append(m.sent, proto.CloneOf(c))
	reply := m.apply(c)
	m.sent[len(m.sent)-1].Time = c.Time
	if reply.Fault == nil {
		m.settled = append(m.settled, sent{c, reply.Result, c.GetGrant().GetEpoch()})
	}
	if result != nil && proto.Unmarshal(reply.Result, result) != nil {
		m.t.Fatalf("%v: result can't be decoded", c)
	}
	return reply.GetFault().GetCode()
}

// expect fails unless the command has the code.
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
		t.Fatal("the account is stopped")
	}
}

func (m *machine) code(open string) string {
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
	m.expect(t, c, m.code(""), &result)
	if m.state.phase != Open {
		return
	}
	// The bounds of section 3.1, apart from the way to reach them.
	bound := max(free/2, min(need, free))
	if !isKnown && zone != "d" {
		bound = max(bound, min(m.budget/6, free))
	}
	if result.Amount > bound || result.Amount < 0 || need <= free && result.Amount < need {
		t.Fatalf("%v: got %d of %d tokens, want up to %d and %d if available", c, result.Amount, free, bound, need)
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
		t.Fatalf("epoch: got %q", got)
	}
}

func (m *machine) raise(t *rapid.T) {
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
		t.Fatalf("claim: got %q", got)
	}
	if last, ok := m.attempts[request]; result.Granted && ok && last != "void" {
		t.Fatalf("request %s: granted after an attempt that is %s", request, last)
	}
	if result.Granted {
		m.attempts[request] = "open"
		if outcome := rapid.SampledFrom([]string{"open", "void", "ran"}).Draw(t, "outcome"); outcome != "open" {
			m.expect(t, resolve(request, "x", attempt, outcome == "ran"), "", nil)
			m.attempts[request] = outcome
		}
	}
}

// resend sends a command again that has succeeded; the books must not change,
// and a grant must have the earlier result.
func (m *machine) resend(t *rapid.T) {
	if len(m.settled) == 0 {
		return
	}
	s := rapid.SampledFrom(m.settled).Draw(t, "command")
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
		t.Fatal("the restored snapshot differs")
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
	m.expect(t, closing(&wire.Balance{Account: "mill", Prepaid: total + billed, Billed: billed, Refundable: total}), "", nil)
	m.closed = true
}

// Resent commands and restarts at any moment must neither create nor lose
// tokens, nor grant a claim twice; replaying the log must give the same bytes.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &machine{bench: newBench(t), budget: 1200, topups: map[string]int64{}, zones: map[string]int64{},
			epochs: map[string]uint64{}, sequence: map[string]uint64{}, attempts: map[string]string{}}
		m.expect(r, configure(document(1, 0, account.New("mill", m.budget))), "", nil)
		r.Repeat(map[string]func(*rapid.T){
			"topup": m.topup, "grant": m.grant, "release": m.release, "renew": m.renew, "raise": m.raise,
			"attempt": m.attempt, "resend": m.resend, "restart": m.restart, "finish": m.finish, "": m.check,
		})
		replayed := New(Config{})
		for i, c := range m.sent {
			replayed.Apply(uint64(i+1), encode(c))
		}
		if !bytes.Equal(replayed.Snapshot(), m.Snapshot()) {
			r.Fatal("the replayed snapshot differs")
		}
	})
}

// A snapshot that depends on the order of the commands of different accounts
// could not be compared between members.
func TestSnapshotIsSorted(t *testing.T) {
	accounts := []account.Account{account.New("mill", 9), account.New("bakery", 9), account.New("inn", 9)}
	var want []byte
	for i := range 2 {
		b := newBench(t)
		b.must(configure(document(1, 0, accounts...)))
		names := []string{"mill", "bakery", "inn"}
		if i == 1 {
			slices.Reverse(names)
		}
		for _, n := range names {
			b.must(topup("for-"+n, n, 1))
		}
		if i == 0 {
			want = b.Snapshot()
		} else if got := b.Snapshot(); !bytes.Equal(got, want) {
			t.Errorf("got\n%q\nwant\n%q", got, want)
		}
	}
}

// A damaged snapshot must be refused and never panic, since it may come over
// the network or from a bad disk.
func FuzzRestore(f *testing.F) {
	b := newBench(f)
	b.must(configure(document(1, 0, account.New("mill", 1200))))
	b.must(topup("t", "mill", 5))
	b.must(grant("a", 1, 1, 0, 0))
	b.must(released("a", 1, 1, 10))
	b.must(claim("r", "d", "x", 1))
	b.must(resolve("r", "x", 1, true))
	b.must(dissolve())
	snapshot := b.Snapshot()
	f.Add(snapshot[len(header) : len(snapshot)-sha256.Size])
	f.Add(snapshot)
	f.Fuzz(func(t *testing.T, records []byte) {
		c := New(Config{})
		if err := c.Restore(records); err != nil && c.Configuration() != nil {
			t.Fatal("a refused snapshot changed the state")
		}
		// Past the checksum, the records themselves are decoded.
		s := newState(c.config.Logger)
		if s.decode(records) != nil {
			return
		}
		again, err := restore(s.snapshot(), c.config.Logger)
		if err != nil || !bytes.Equal(again.snapshot(), s.snapshot()) {
			t.Fatalf("restored again: %v", err)
		}
		for name, p := range s.pools {
			if !p.stopped && !p.isSound() {
				t.Fatal(fmt.Sprint("unsound pool ", name))
			}
		}
	})
}
