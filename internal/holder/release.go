package holder

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

// tailDivisor sets the unspent share of a budget below which no reserve is
// kept: 1/50, or 2%.
const tailDivisor = 50

// initialGrantDivisor sets the share of a budget that the zones are initially
// granted. Their reserves are a part of that.
const initialGrantDivisor = 2

// nearlySpentTTL is how long the result of checkNearlySpent is cached.
const nearlySpentTTL = time.Second

// Release returns free tokens to the replicated log: up to half of them without
// touching the reserve, or all at dissolution, which also releases tokens that
// become free later. The ledger stores the records durably before the log
// receives them.
func (h *Holder) Release(ctx context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	l, err := h.currentLedger()
	if err != nil {
		return &wire.ReleaseReply{Fault: wire.NewFault(err)}, nil
	}
	if request.Closing && h.closing.CompareAndSwap(false, true) {
		h.closingSince.Store(h.cfg.Now().UnixNano())
	}
	amount, err := h.release(ctx, l, request)
	h.confirmReleases(ctx, l)
	return &wire.ReleaseReply{Fault: wire.NewFault(err), Amount: amount}, nil
}

// release takes tokens out of the ledger and returns how many.
func (h *Holder) release(ctx context.Context, l *ledger.Ledger, request *wire.ReleaseRequest) (int64, error) {
	var sum int64
	for _, t := range l.Tally(request.Account) {
		amount := t.Free
		if !request.Closing {
			amount = h.releasable(ctx, t, request.Amount)
		}
		if amount <= 0 {
			continue
		}
		_, released, err := l.Release(t.Account, amount)
		if err != nil {
			return sum, err
		}
		sum += released
	}
	h.progress.wakeCopiers()
	return sum, nil
}

// flushReleases releases all free tokens during dissolution, and sends the
// releases that the log may not have applied.
func (h *Holder) flushReleases(ctx context.Context, l *ledger.Ledger) {
	if h.closing.Load() {
		h.fenceAll(l)
		if _, err := h.release(ctx, l, &wire.ReleaseRequest{Closing: true}); err != nil {
			h.cfg.Logger.Warn("failed to release tokens", zap.Error(err))
		}
	}
	h.confirmReleases(ctx, l)
}

// releasable returns how many free tokens may be released: half of them, at
// most the requested amount, and none of the reserve.
func (h *Holder) releasable(ctx context.Context, t *wire.Tally, requested int64) int64 {
	amount := (t.Free + 1) / 2
	if requested > 0 {
		amount = min(amount, requested)
	}
	keep := h.reserve(t)
	if t.Free-amount >= keep || h.nearlySpent(ctx, t.Account) {
		return amount
	}
	return t.Free - keep
}

// reserve returns the part of the last grant that is reserved for the zone.
func (h *Holder) reserve(t *wire.Tally) int64 {
	h.grants.mu.Lock()
	defer h.grants.mu.Unlock()
	a := h.grants.account(t.Account)
	if a.lastGrant == 0 {
		// After a restart, use the free tokens in place of the last grant.
		a.lastGrant = t.Free
	}
	return int64(h.cfg.ReserveShare() * float64(a.lastGrant))
}

// reserveFor returns the free tokens that a draw must leave: none for an
// instance of this zone, the reserve for others.
func (h *Holder) reserveFor(ctx context.Context, l *ledger.Ledger, request *wire.DrawRequest, need int64) int64 {
	name := request.Holding.GetInstance()
	if name == h.cfg.Name || slices.Contains(h.cfg.LocalInstances, name) {
		return 0
	}
	t := tally(l, request.Account)
	keep := h.reserve(t)
	if t.Free < need || t.Free-keep >= need || !h.nearlySpent(ctx, request.Account) {
		return keep
	}
	return 0
}

// nearlySpent reports whether all zones are reachable and the unspent part of
// the budget is below 2%, or so small that it may lie in the reserves, which
// would then cause refusals with tokens left. The result is cached, since it
// takes a call to each zone.
func (h *Holder) nearlySpent(ctx context.Context, account string) bool {
	g := h.grants
	now := h.cfg.Now()
	g.mu.Lock()
	a := g.account(account)
	known, spent := now.Before(a.nearlySpentUntil), a.nearlySpent
	g.mu.Unlock()
	if known {
		return spent
	}
	spent = h.checkNearlySpent(ctx, account)
	g.mu.Lock()
	defer g.mu.Unlock()
	a.nearlySpent, a.nearlySpentUntil = spent, h.cfg.Now().Add(nearlySpentTTL)
	return spent
}

func (h *Holder) checkNearlySpent(ctx context.Context, account string) bool {
	pool := h.readPool(ctx, account)
	if pool == nil {
		return false
	}
	l, err := h.currentLedger()
	if err != nil {
		return false
	}
	budget := pool.Prepaid + pool.Topups
	unspent := budget - tally(l, account).Billed
	for _, peer := range h.cfg.Peers {
		t := h.fetchTally(ctx, peer, account)
		if t == nil {
			return false
		}
		unspent -= t.Billed
	}
	return unspent < budget/tailDivisor || unspent <= int64(h.cfg.ReserveShare()*float64(budget)/initialGrantDivisor)
}

// readPool returns the pool of an account from the local replica of the log, or
// nil if it is unknown.
func (h *Holder) readPool(ctx context.Context, account string) *wire.Pool {
	for _, pool := range h.readPools(ctx, &wire.ReadRequest{Stale: true, Pools: true, Account: account}) {
		if pool.Account == account {
			return pool
		}
	}
	return nil
}

func (h *Holder) readPools(ctx context.Context, request *wire.ReadRequest) []*wire.Pool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := h.cfg.Read(ctx, request)
	if err != nil || reply.Fault != nil {
		return nil
	}
	return reply.Pools
}

// confirmReleases sends the releases that the log may not have applied, one
// caller at a time.
func (h *Holder) confirmReleases(ctx context.Context, l *ledger.Ledger) {
	select {
	case h.confirmSem <- struct{}{}:
		defer func() { <-h.confirmSem }()
	case <-ctx.Done():
		return
	}
	if err := h.sendReleases(ctx, l); err != nil && ctx.Err() == nil {
		h.cfg.Logger.Info("release not confirmed", zap.Error(err))
	}
}

// sendReleases stops at the first command with an unknown outcome. A rejected
// command stays listed and doesn't block the others.
func (h *Holder) sendReleases(ctx context.Context, l *ledger.Ledger) error {
	var refused error
	unconfirmed := l.Released()
	for _, released := range unconfirmed {
		// The log may drop the results of releases before the first unconfirmed
		// one. The ledger shares its records, so modify a copy.
		released = proto.CloneOf(released)
		released.Confirmed = unconfirmed[0].Sequence - 1
		_, err := h.propose(ctx, &wire.Command{Change: &wire.Command_Released{Released: released}})
		if err == nil {
			err = l.Confirm(released.Sequence)
		}
		if err != nil && fault.Of(err) == fault.Uncertain {
			return err
		}
		if err != nil {
			refused = err
		}
	}
	h.progress.wakeCopiers()
	return refused
}
