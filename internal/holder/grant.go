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
	// demandWindow is the window over which the demand of an account is
	// measured.
	demandWindow = 10 * time.Second
	// maxGrantRounds limits the attempts to gather tokens from other zones for
	// one request.
	maxGrantRounds = 8
	// refillInterval is the minimum interval between background requests for
	// tokens of an account.
	refillInterval = time.Second
	// refusalTTL is how long a refused need isn't requested again, so that
	// callers that repeat refused requests don't load the replicated log.
	refusalTTL = 50 * time.Millisecond
	// grantWindows is the number of demand windows that a grant request covers.
	grantWindows = 2
)

// grants requests tokens from the replicated log. It sends one command at a
// time, because the log detects a resent command by its sequence.
type grants struct {
	sem          chan struct{} // held while a command is sent
	pending      *wire.Grant   // command with an unknown outcome, guarded by sem
	nextSequence uint64        // guarded by sem
	// unreachable is set while the replicated log is unreachable. Only the task
	// that resolves the pending command contacts it then, and no request waits
	// for that.
	unreachable atomic.Bool

	mu         sync.Mutex
	accounts   map[string]*accountState
	stopped    bool
	background sync.WaitGroup // background requests
}

// accountState is what the holder remembers about an account.
type accountState struct {
	demand           counter.Counter // tokens drawn
	netDrawn         counter.Counter // tokens drawn minus tokens returned
	firstDraw        time.Time       // start of netDrawn
	lastGrant        int64           // tokens of the last grant
	inFlight         chan struct{}   // closed when the grant request completes
	nextRefill       time.Time       // earliest time of the next refill
	refusedNeed      int64           // last refused need
	refusedUntil     time.Time       // needs of at least refusedNeed are refused until then
	nearlySpent      bool            // whether the budget is nearly spent
	nearlySpentUntil time.Time       // expiry of nearlySpent
}

func newGrants() *grants {
	return &grants{sem: make(chan struct{}, 1), nextSequence: 1, accounts: map[string]*accountState{}}
}

func (g *grants) account(name string) *accountState {
	a := g.accounts[name]
	if a == nil {
		a = &accountState{demand: counter.Counter{Window: demandWindow}, netDrawn: counter.Counter{Window: netDrawnWindow}}
		g.accounts[name] = a
	}
	return a
}

// addDemand adds to the demand of an account.
func (g *grants) addDemand(name string, amount int64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account(name).demand.Add(now, amount)
}

// start allows background requests again.
func (g *grants) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = false
}

// stop waits for the background requests and prevents new ones.
func (g *grants) stop() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.background.Wait()
}

// refill requests tokens in the background if fewer are free than were drawn in
// the last demand window.
func (h *Holder) refill(l *ledger.Ledger, t *wire.Tally) {
	now := h.cfg.Now()
	g := h.grants
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(t.Account)
	sum := a.demand.Sum(now)
	if t.Free >= sum || now.Before(a.nextRefill) || a.inFlight != nil || g.stopped || h.closing.Load() {
		return
	}
	a.nextRefill = now.Add(refillInterval)
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
		defer cancel()
		h.acquireTokens(ctx, l, t.Account, 0, grantWindows*sum-t.Free)
	})
}

// acquireTokens requests grants until need tokens are free. It returns when
// they are granted or refused, or when ctx ends. Concurrent callers for the
// same account wait for the request in flight. It reports whether another draw
// may succeed.
func (h *Holder) acquireTokens(ctx context.Context, l *ledger.Ledger, account string, need, want int64) bool {
	g := h.grants
	g.mu.Lock()
	a := g.account(account)
	if need > 0 && need >= a.refusedNeed && h.cfg.Now().Before(a.refusedUntil) {
		g.mu.Unlock()
		return false
	}
	if inFlight := a.inFlight; inFlight != nil {
		g.mu.Unlock()
		select {
		case <-inFlight:
			return true
		case <-ctx.Done():
			return false
		}
	}
	a.inFlight = make(chan struct{})
	want = max(want, need, grantWindows*a.demand.Sum(h.cfg.Now()))
	g.mu.Unlock()
	granted := h.gatherTokens(ctx, l, account, need, want)
	g.mu.Lock()
	defer g.mu.Unlock()
	close(a.inFlight)
	a.inFlight = nil
	if !granted && need > 0 {
		a.refusedNeed, a.refusedUntil = need, h.cfg.Now().Add(refusalTTL)
	}
	return granted
}

// gatherTokens requests grants until the zone has the needed tokens free, and
// reports whether it has. If the log has too few unassigned tokens, it asks the
// other zones to release some.
func (h *Holder) gatherTokens(ctx context.Context, l *ledger.Ledger, account string, need, want int64) bool {
	for range maxGrantRounds {
		missing := max(need-tally(l, account).Free, 0)
		amount, err := h.requestGrant(ctx, l, account, missing, max(want, missing))
		if err != nil {
			h.cfg.Logger.Info("no tokens granted", zap.String("account", account), zap.Error(err))
			return false
		}
		if amount >= missing {
			return true
		}
		if h.requestReleases(ctx, account, missing-amount) == 0 {
			return false
		}
	}
	return false
}

// requestReleases asks the other holders to release tokens and returns how many
// they released.
func (h *Holder) requestReleases(ctx context.Context, account string, missing int64) int64 {
	var mu sync.Mutex
	var sum int64
	var group sync.WaitGroup
	for _, peer := range h.cfg.Peers {
		if h.liveness.isUnreachable(peer) {
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
			defer cancel()
			reply, err := h.cfg.Release(ctx, peer, &wire.ReleaseRequest{Account: account, Amount: missing})
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

// requestGrant sends a Grant command and applies its result. A command with an
// unknown outcome is resent with the same sequence before a new one is sent.
func (h *Holder) requestGrant(ctx context.Context, l *ledger.Ledger, account string, need, want int64) (int64, error) {
	g := h.grants
	if g.unreachable.Load() || h.liveness.isIsolated() {
		return 0, eris.Wrap(fault.Isolated, "replicated log unreachable")
	}
	done, err := h.lockCommands(ctx, l)
	if err != nil {
		return 0, err
	}
	defer done()
	if h.closing.Load() {
		return 0, eris.Wrap(fault.Closed, "tokens are being released for dissolution")
	}
	if !h.isAligned(account) {
		return 0, eris.Wrapf(fault.Unavailable, "account %s is not aligned with the replicated log", account)
	}
	// The ledger has stored the outcome of all earlier commands, so the log may
	// forget their results.
	grant := &wire.Grant{Account: account, Zone: h.cfg.Zone, Epoch: l.Epoch(), Sequence: g.nextSequence, Need: need, Want: want, Confirmed: g.nextSequence - 1}
	if err := h.storePending(grant); err != nil {
		return 0, err
	}
	g.pending = grant
	return h.resolve(ctx, l)
}

// lockCommands waits until no other command is being sent and resolves the
// pending one. The caller must call done when finished.
func (h *Holder) lockCommands(ctx context.Context, l *ledger.Ledger) (done func(), err error) {
	g := h.grants
	select {
	case g.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrap(fault.Isolated, "another command is in flight")
	}
	done = func() { <-g.sem }
	if g.pending == nil {
		return done, nil
	}
	if _, err = h.resolve(ctx, l); err != nil {
		done()
		return nil, err
	}
	return done, nil
}

// resolvePending resolves the pending command, if any, while no caller requests
// tokens.
func (h *Holder) resolvePending(ctx context.Context, l *ledger.Ledger) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if done, err := h.lockCommands(ctx, l); err == nil {
		done()
	}
}

// resolve sends the pending command until its outcome is known or ctx ends.
func (h *Holder) resolve(ctx context.Context, l *ledger.Ledger) (int64, error) {
	g := h.grants
	for {
		data, err := h.propose(ctx, &wire.Command{Change: &wire.Command_Grant{Grant: proto.CloneOf(g.pending)}})
		if err == nil {
			g.unreachable.Store(false)
			return h.applyGrant(l, data)
		}
		if fault.Of(err) != fault.Uncertain {
			g.unreachable.Store(false)
			// Don't reuse the sequence: a delayed duplicate of the command may
			// still arrive.
			g.pending = nil
			g.nextSequence++
			return 0, err
		}
		if ctx.Err() != nil {
			g.unreachable.Store(true)
			return 0, err
		}
		sleep(ctx, retryInterval)
	}
}

// applyGrant applies the result of the pending command to the ledger.
func (h *Holder) applyGrant(l *ledger.Ledger, data []byte) (int64, error) {
	g := h.grants
	result := &wire.GrantResult{}
	if err := proto.Unmarshal(data, result); err != nil {
		return 0, eris.Wrapf(fault.Broken, "decode grant result: %v", err)
	}
	if result.Amount > 0 {
		// A stopped account keeps the tokens that the log has assigned to it.
		if err := l.Grant(g.pending.Account, g.pending.Sequence, result.Amount); err != nil && fault.Of(err) != fault.Broken {
			return 0, err
		}
		g.mu.Lock()
		g.account(g.pending.Account).lastGrant = result.Amount
		g.mu.Unlock()
	}
	g.pending = nil
	g.nextSequence++
	h.progress.wakeCopiers()
	return result.Amount, nil
}

// storePending stores a command before it is sent, so that a restarted holder
// resends it and never reuses a sequence.
func (h *Holder) storePending(grant *wire.Grant) error {
	data, err := proto.Marshal(grant)
	if err == nil {
		err = writeFileAtomic(h.pendingPath(), data)
	}
	if err != nil {
		return eris.Wrapf(fault.Corrupt, "store pending grant: %v", err)
	}
	return nil
}

// loadPending loads the last command if it belongs to the epoch.
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
		return eris.Wrapf(fault.Corrupt, "read pending grant: %v", err)
	}
	if grant.Epoch == epoch {
		h.grants.sem <- struct{}{}
		defer func() { <-h.grants.sem }()
		h.grants.pending, h.grants.nextSequence = grant, grant.Sequence
	}
	return nil
}

func (h *Holder) pendingPath() string { return filepath.Join(h.cfg.Path, "grant") }
