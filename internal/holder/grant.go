package holder

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/counter"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// demandWindow is the time over which the demand of an account is measured.
	demandWindow = 10 * time.Second
	// grantRounds bounds the attempts to gather rights from other zones for
	// one need.
	grantRounds = 8
	// refillPause separates requests for rights that nobody waits for.
	refillPause = time.Second
	// refusedPause is how long a need that was refused isn't asked for again,
	// so that callers that repeat refused requests don't load the log.
	refusedPause = 50 * time.Millisecond
	// grantSpan is the demand that a request for rights asks for, in demand
	// windows.
	grantSpan = 2
)

// grants asks the log for rights. Commands are sent one at a time, because
// the log recognises a resent one by the sequence.
type grants struct {
	turn    chan struct{} // held while a command is sent
	pending *wire.Grant   // command with an unknown outcome, protected by turn
	next    uint64        // next sequence, protected by turn
	// blocked is set while the log can't be reached. Only the task that resolves
	// the pending command asks it then, and nobody waits for that.
	blocked atomic.Bool

	mu       sync.Mutex
	accounts map[string]*rights
	stopped  bool
	running  sync.WaitGroup // requests that nobody waits for
}

// rights is what the holder remembers about one account.
type rights struct {
	demand  counter.Counter // tokens drawn
	pace    counter.Counter // draws less returns
	since   time.Time       // first draw, the start of pace
	last    int64           // last grant
	flight  chan struct{}   // closed when the request for rights ends
	refills time.Time       // no refill before
	refused int64           // need that was refused last
	until   time.Time       // such a need is refused until then
	spent   bool            // the budget is nearly spent
	judged  time.Time       // spent is known until then
}

func newGrants() *grants {
	return &grants{turn: make(chan struct{}, 1), next: 1, accounts: map[string]*rights{}}
}

func (g *grants) account(name string) *rights {
	a := g.accounts[name]
	if a == nil {
		a = &rights{demand: counter.Counter{Window: demandWindow}, pace: counter.Counter{Window: paceWindow}}
		g.accounts[name] = a
	}
	return a
}

// note adds to the demand of an account.
func (g *grants) note(name string, amount int64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account(name).demand.Add(now, amount)
}

// stop ends the requests that nobody waits for.
func (g *grants) stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.running.Wait()
}

// refill asks for rights in the background when the free rights are below the
// demand of the last window.
func (h *Holder) refill(l *ledger.Ledger, t *wire.Tally) {
	now := h.cfg.Now()
	g := h.grants
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(t.Account)
	sum := a.demand.Sum(now)
	if t.Free >= sum || now.Before(a.refills) || a.flight != nil || g.stopped || h.closing.Load() {
		return
	}
	a.refills = now.Add(refillPause)
	g.running.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), grantWait)
		defer cancel()
		h.ask(ctx, l, t.Account, 0, grantSpan*sum-t.Free)
	})
}

// ask asks the log for rights until need tokens are free, and returns when
// they have been granted or refused, or when ctx ends. Callers that ask for
// the same account wait for the request in progress. The result tells whether
// another draw may succeed.
func (h *Holder) ask(ctx context.Context, l *ledger.Ledger, account string, need, want int64) bool {
	g := h.grants
	g.mu.Lock()
	a := g.account(account)
	if need > 0 && need >= a.refused && h.cfg.Now().Before(a.until) {
		g.mu.Unlock()
		return false
	}
	if flight := a.flight; flight != nil {
		g.mu.Unlock()
		select {
		case <-flight:
			return true
		case <-ctx.Done():
			return false
		}
	}
	a.flight = make(chan struct{})
	want = max(want, need, grantSpan*a.demand.Sum(h.cfg.Now()))
	g.mu.Unlock()
	granted := h.gather(ctx, l, account, need, want)
	g.mu.Lock()
	defer g.mu.Unlock()
	close(a.flight)
	a.flight = nil
	if !granted && need > 0 {
		a.refused, a.until = need, h.cfg.Now().Add(refusedPause)
	}
	return granted
}

// gather requests rights until the zone has the needed tokens free, and tells
// whether it has. When the log has too few, it asks the other zones to release
// some.
func (h *Holder) gather(ctx context.Context, l *ledger.Ledger, account string, need, want int64) bool {
	for range grantRounds {
		missing := max(need-tally(l, account).Free, 0)
		amount, err := h.request(ctx, l, account, missing, max(want, missing))
		if err != nil {
			h.cfg.Logger.Info("No rights from the log.", zap.String("account", account), zap.Error(err))
			return false
		}
		if amount >= missing {
			return true
		}
		if h.collect(ctx, account, missing-amount) == 0 {
			return false
		}
	}
	return false
}

// collect asks the other holders to release rights, and returns how many they
// released.
func (h *Holder) collect(ctx context.Context, account string, missing int64) int64 {
	var mu sync.Mutex
	var sum int64
	var group sync.WaitGroup
	for _, other := range h.cfg.Peers {
		if h.contacts.isSilent(other) {
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
			defer cancel()
			reply, err := h.cfg.Release(ctx, other, &wire.ReleaseRequest{Account: account, Amount: missing})
			if err != nil || reply.Fault != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sum += reply.Amount
		})
	}
	group.Wait()
	return sum
}

// request sends one Grant command and books its result. A command whose
// outcome is unknown is resent with the same sequence before another one is
// sent.
func (h *Holder) request(ctx context.Context, l *ledger.Ledger, account string, need, want int64) (int64, error) {
	g := h.grants
	if g.blocked.Load() || h.contacts.isAlone() {
		return 0, eris.Wrap(fault.Isolated, "the log can't be reached")
	}
	done, err := h.turn(ctx, l)
	if err != nil {
		return 0, err
	}
	defer done()
	if h.closing.Load() {
		return 0, eris.Wrap(fault.Closed, "rights are being released")
	}
	if !h.aligned(account) {
		return 0, eris.Wrapf(fault.Unavailable, "account %s is not aligned with the log", account)
	}
	// Commands before this one have an outcome that the ledger has stored, so
	// the log may forget their results.
	grant := &wire.Grant{Account: account, Zone: h.cfg.Zone, Epoch: l.Epoch(), Sequence: g.next, Need: need, Want: want, Confirmed: g.next - 1}
	if err := h.storePending(grant); err != nil {
		return 0, err
	}
	g.pending = grant
	return h.resolve(ctx, l)
}

// turn waits for the turn to send commands and resolves the pending one. The
// caller calls done at the end of its turn.
func (h *Holder) turn(ctx context.Context, l *ledger.Ledger) (done func(), err error) {
	g := h.grants
	select {
	case g.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrap(fault.Isolated, "another command is in progress")
	}
	done = func() { <-g.turn }
	if g.pending == nil {
		return done, nil
	}
	if _, err = h.resolve(ctx, l); err != nil {
		done()
		return nil, err
	}
	return done, nil
}

// settlePending resolves the pending command, if there is one, when nobody
// asks for rights.
func (h *Holder) settlePending(ctx context.Context, l *ledger.Ledger) {
	ctx, cancel := context.WithTimeout(ctx, grantWait)
	defer cancel()
	if done, err := h.turn(ctx, l); err == nil {
		done()
	}
}

// resolve sends the pending command until its outcome is known, or ctx ends.
func (h *Holder) resolve(ctx context.Context, l *ledger.Ledger) (int64, error) {
	g := h.grants
	for {
		data, err := h.propose(ctx, &wire.Command{Change: &wire.Command_Grant{Grant: proto.CloneOf(g.pending)}})
		if err == nil {
			g.blocked.Store(false)
			return h.book(l, data)
		}
		if fault.Of(err) != fault.Uncertain {
			g.blocked.Store(false)
			// The sequence isn't used again, since a delayed copy of the
			// command may still arrive.
			g.pending = nil
			g.next++
			return 0, err
		}
		if ctx.Err() != nil {
			g.blocked.Store(true)
			return 0, err
		}
		sleep(ctx, retryPause)
	}
}

// book applies the result of the pending command to the ledger.
func (h *Holder) book(l *ledger.Ledger, data []byte) (int64, error) {
	g := h.grants
	result := &wire.GrantResult{}
	if err := proto.Unmarshal(data, result); err != nil {
		return 0, eris.Wrapf(fault.Broken, "result of a grant: %v", err)
	}
	if result.Amount > 0 {
		// A stopped account keeps what the log has assigned to it.
		if err := l.Grant(g.pending.Account, g.pending.Sequence, result.Amount); err != nil && fault.Of(err) != fault.Broken {
			return 0, err
		}
		g.mu.Lock()
		g.account(g.pending.Account).last = result.Amount
		g.mu.Unlock()
	}
	g.pending = nil
	g.next++
	h.progress.kick()
	return result.Amount, nil
}

// storePending stores a command before it is sent, so that a restarted holder
// resends it and uses no sequence twice.
func (h *Holder) storePending(grant *wire.Grant) error {
	data, err := proto.Marshal(grant)
	if err == nil {
		err = replaceFile(h.pendingPath(), data)
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "store the command: %v", err)
	}
	return nil
}

// loadPending takes up the last command of the epoch.
func (h *Holder) loadPending(epoch uint64) error {
	data, err := os.ReadFile(h.pendingPath())
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	grant := &wire.Grant{}
	if err == nil {
		err = proto.Unmarshal(data, grant)
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "read the last command: %v", err)
	}
	if grant.Epoch == epoch {
		h.grants.pending, h.grants.next = grant, grant.Sequence
	}
	return nil
}

func (h *Holder) pendingPath() string { return filepath.Join(h.cfg.Path, "grant") }
