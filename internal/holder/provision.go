package holder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// provisionHorizon is the duration of demand that a zone holds tokens for,
	// so that it can serve through a partition of this length. With tokens for
	// the next few seconds only, a partitioned zone refuses nearly all
	// requests.
	provisionHorizon = 90 * time.Minute
	// provisionInterval is the interval between checks of the accounts.
	provisionInterval = 10 * time.Second
	// netDrawnWindow is the window from which the demand over provisionHorizon
	// is extrapolated.
	netDrawnWindow = 10 * time.Minute
	// minExtrapolation is the shortest time that demand is extrapolated from.
	minExtrapolation = time.Minute
	// minGrantDivisor limits commands for small grants: unassigned tokens below
	// wanted/minGrantDivisor aren't worth a command.
	minGrantDivisor = 8
)

// addNetDrawn adds to the net drawn tokens of an account; amount is negative
// for tokens returned unused.
func (g *grants) addNetDrawn(name string, amount int64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(name)
	if a.firstDraw.IsZero() {
		a.firstDraw = now
	}
	a.netDrawn.Add(now, amount)
}

// targetTokens returns the tokens that each account should have in this zone.
func (g *grants) targetTokens(now time.Time) map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := make(map[string]int64, len(g.accounts))
	for name, a := range g.accounts {
		covered := max(min(now.Sub(a.firstDraw), netDrawnWindow), minExtrapolation)
		targets[name] = int64(float64(max(a.netDrawn.Sum(now), 0)) * (provisionHorizon.Seconds() / covered.Seconds()))
	}
	return targets
}

// provision requests tokens for accounts whose free tokens are below three
// quarters of their target, from the replicated log while it has unassigned
// tokens, then from the other zones.
func (h *Holder) provision(ctx context.Context, l *ledger.Ledger) {
	for name, target := range h.grants.targetTokens(h.cfg.Now()) {
		if ctx.Err() != nil || h.closing.Load() {
			return
		}
		if want := target - tally(l, name).Free; want > target/4 {
			h.provisionAccount(ctx, l, name, want)
		}
	}
}

// provisionAccount requests tokens that no caller waits for.
func (h *Holder) provisionAccount(ctx context.Context, l *ledger.Ledger, name string, want int64) {
	pool := h.readPool(ctx, name)
	if pool == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if pool.Unassigned >= want/minGrantDivisor {
		h.acquireTokens(call, l, name, 0, want)
		return
	}
	if released := h.rebalance(call, l, name, want); released > 0 {
		if _, err := h.requestGrant(call, l, name, released, released); err != nil {
			h.cfg.Logger.Info("released tokens not granted", zap.String("account", name), zap.Error(err))
		}
	}
}

// rebalance asks the zones with more than their share of the free tokens to
// release some, and returns how many they released. The share of a zone is its
// share of the billed tokens: its demand so far.
func (h *Holder) rebalance(ctx context.Context, l *ledger.Ledger, name string, want int64) int64 {
	own := tally(l, name)
	free, billed := own.Free, own.Billed
	tallies := map[string]*wire.Tally{}
	for _, peer := range h.cfg.Peers {
		if t := h.fetchTally(ctx, peer, name); t != nil {
			tallies[peer] = t
			free += t.Free
			billed += t.Billed
		}
	}
	share := func(t *wire.Tally) int64 {
		return int64(float64(free) * float64(t.Billed) / float64(max(billed, 1)))
	}
	missing := min(want, share(own)-own.Free)
	if missing <= share(own)/4 {
		return 0
	}
	var sum int64
	for peer, t := range tallies {
		amount := min(missing-sum, t.Free-share(t))
		if amount <= 0 {
			continue
		}
		reply, err := h.cfg.Release(ctx, peer, &wire.ReleaseRequest{Account: name, Amount: amount})
		if err == nil && reply.Fault == nil {
			sum += reply.Amount
		}
	}
	return sum
}

// fetchTally returns the balances of an account in another zone, or nil if its
// holder doesn't reply. They are zero if that zone doesn't know the account.
func (h *Holder) fetchTally(ctx context.Context, peer, name string) *wire.Tally {
	if h.liveness.isUnreachable(peer) {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout/4)
	defer cancel()
	reply, err := h.cfg.Tally(call, peer, &wire.TallyRequest{Account: name})
	if err != nil || reply.Fault != nil {
		return nil
	}
	for _, t := range reply.Tallies {
		if t.Account == name {
			return t
		}
	}
	return &wire.Tally{Account: name}
}
