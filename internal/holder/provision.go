package holder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// provisionSpan is the demand that a zone holds rights for, so that it can
	// serve through a partition of this length. Rights for the next seconds
	// alone make a partitioned zone refuse nearly all requests.
	provisionSpan = 90 * time.Minute
	// provisionInterval separates the searches for accounts to provide for.
	provisionInterval = 10 * time.Second
	// paceWindow is the time over which the demand of provisionSpan is
	// extrapolated.
	paceWindow = 10 * time.Minute
	// leastPace is the least time that demand is extrapolated from.
	leastPace = time.Minute
	// Unassigned tokens below this part of what is wanted aren't worth a
	// command, as a divisor.
	smallShare = 8
)

// spend adds to the pace of an account; amount is negative for tokens that
// came back unused.
func (g *grants) spend(name string, amount int64, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.account(name)
	if a.since.IsZero() {
		a.since = now
	}
	a.pace.Add(now, amount)
}

// targets returns the rights that each account should have here, in tokens.
func (g *grants) targets(now time.Time) map[string]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets := make(map[string]int64, len(g.accounts))
	for name, a := range g.accounts {
		covered := max(min(now.Sub(a.since), paceWindow), leastPace)
		targets[name] = int64(float64(max(a.pace.Sum(now), 0)) * (provisionSpan.Seconds() / covered.Seconds()))
	}
	return targets
}

// provision asks for rights for accounts that have less than three quarters of
// their target: the log while it has unassigned tokens, then the other zones.
func (h *Holder) provision(ctx context.Context, l *ledger.Ledger) {
	for name, target := range h.grants.targets(h.cfg.Now()) {
		if ctx.Err() != nil || h.closing.Load() {
			return
		}
		if want := target - tally(l, name).Free; want > target/4 {
			h.store(ctx, l, name, want)
		}
	}
}

// store gets rights that nobody waits for.
func (h *Holder) store(ctx context.Context, l *ledger.Ledger, name string, want int64) {
	pool := h.pool(ctx, name)
	if pool == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, grantWait)
	defer cancel()
	if pool.Unassigned >= want/smallShare {
		h.ask(call, l, name, 0, want)
		return
	}
	if released := h.balance(call, l, name, want); released > 0 {
		if _, err := h.request(call, l, name, released, released); err != nil {
			h.cfg.Logger.Info("Released rights are not granted.", zap.String("account", name), zap.Error(err))
		}
	}
}

// balance asks the zones that hold more than their part of the free rights to
// release some, and returns how many they released. The part of a zone is
// that which it has in the billed tokens: its demand so far.
func (h *Holder) balance(ctx context.Context, l *ledger.Ledger, name string, want int64) int64 {
	own := tally(l, name)
	free, billed := own.Free, own.Billed
	tallies := map[string]*wire.Tally{}
	for _, other := range h.cfg.Peers {
		if t := h.tallyOf(ctx, other, name); t != nil {
			tallies[other] = t
			free += t.Free
			billed += t.Billed
		}
	}
	part := func(t *wire.Tally) int64 {
		return int64(float64(free) * float64(t.Billed) / float64(max(billed, 1)))
	}
	missing := min(want, part(own)-own.Free)
	if missing <= part(own)/4 {
		return 0
	}
	var sum int64
	for other, t := range tallies {
		amount := min(missing-sum, t.Free-part(t))
		if amount <= 0 {
			continue
		}
		reply, err := h.cfg.Release(ctx, other, &wire.ReleaseRequest{Account: name, Amount: amount})
		if err == nil && reply.Fault == nil {
			sum += reply.Amount
		}
	}
	return sum
}

// tallyOf returns the books of an account in another zone, which may be empty,
// or nil if its holder doesn't answer.
func (h *Holder) tallyOf(ctx context.Context, other, name string) *wire.Tally {
	if h.contacts.isSilent(other) {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, callTimeout/4)
	defer cancel()
	reply, err := h.cfg.Tally(call, other, &wire.TallyRequest{Account: name})
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
