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

// tailShare is the unspent part of a budget below which no reserve is kept, as
// a divisor: 2%.
const tailShare = 50

// firstShare is the part of a budget that the zones are granted first, as a
// divisor; their reserves are a part of that.
const firstShare = 2

// judgeTime is how long it is remembered whether a budget is nearly spent.
const judgeTime = time.Second

// Release gives free rights back to the log: half of them less the reserve, or
// all when the venture closes; rights that become free later follow then. The
// records are durable in the ledger before the log learns of them.
func (h *Holder) Release(ctx context.Context, request *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	l, err := h.open()
	if err != nil {
		return &wire.ReleaseReply{Fault: wire.NewFault(err)}, nil
	}
	if request.Closing && h.closing.CompareAndSwap(false, true) {
		h.closingSince.Store(h.cfg.Now().UnixNano())
	}
	amount, err := h.release(ctx, l, request)
	h.confirm(ctx, l)
	return &wire.ReleaseReply{Fault: wire.NewFault(err), Amount: amount}, nil
}

// release takes rights out of the ledger and returns how many.
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
	h.progress.kick()
	return sum, nil
}

// sendAll releases what is free while the venture closes, and sends the
// releases that the log may not have.
func (h *Holder) sendAll(ctx context.Context, l *ledger.Ledger) {
	if h.closing.Load() {
		h.fenceAll(l)
		if _, err := h.release(ctx, l, &wire.ReleaseRequest{Closing: true}); err != nil {
			h.cfg.Logger.Warn("Rights are not released.", zap.Error(err))
		}
	}
	h.confirm(ctx, l)
}

// releasable returns how much of the free rights may go: half of them, at most
// the amount asked for, and not the reserve.
func (h *Holder) releasable(ctx context.Context, t *wire.Tally, asked int64) int64 {
	amount := (t.Free + 1) / 2
	if asked > 0 {
		amount = min(amount, asked)
	}
	keep := h.reserve(t)
	if t.Free-amount >= keep || h.nearlySpent(ctx, t.Account) {
		return amount
	}
	return t.Free - keep
}

// reserve returns the part of the last grant that is kept for the zone.
func (h *Holder) reserve(t *wire.Tally) int64 {
	h.grants.mu.Lock()
	defer h.grants.mu.Unlock()
	a := h.grants.account(t.Account)
	if a.last == 0 {
		// After a restart, the free rights stand for the last grant.
		a.last = t.Free
	}
	return int64(h.cfg.ReserveShare() * float64(a.last))
}

// reserved returns the free rights that a draw has to leave: none for an
// instance of this zone, and the reserve for others.
func (h *Holder) reserved(ctx context.Context, l *ledger.Ledger, request *wire.DrawRequest, need int64) int64 {
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

// nearlySpent tells whether all zones are connected and the unspent part of the
// budget is below 2%, or so small that it may lie in the reserves, which would
// then cause refusals with tokens left. The last answer holds for a while,
// since it takes a call to each zone.
func (h *Holder) nearlySpent(ctx context.Context, account string) bool {
	g := h.grants
	now := h.cfg.Now()
	g.mu.Lock()
	a := g.account(account)
	known, spent := now.Before(a.judged), a.spent
	g.mu.Unlock()
	if known {
		return spent
	}
	spent = h.judge(ctx, account)
	g.mu.Lock()
	defer g.mu.Unlock()
	a.spent, a.judged = spent, h.cfg.Now().Add(judgeTime)
	return spent
}

func (h *Holder) judge(ctx context.Context, account string) bool {
	pool := h.pool(ctx, account)
	if pool == nil {
		return false
	}
	l, err := h.open()
	if err != nil {
		return false
	}
	budget := pool.Prepaid + pool.Topups
	unspent := budget - tally(l, account).Billed
	for _, other := range h.cfg.Peers {
		t := h.tallyOf(ctx, other, account)
		if t == nil {
			return false
		}
		unspent -= t.Billed
	}
	return unspent < budget/tailShare || unspent <= int64(h.cfg.ReserveShare()*float64(budget)/firstShare)
}

// pool returns the pool of an account in the local replica of the log, or nil
// if it isn't known.
func (h *Holder) pool(ctx context.Context, account string) *wire.Pool {
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

// confirm sends the releases that the log may not have, one caller at a time,
// and stops at the first one without an answer.
func (h *Holder) confirm(ctx context.Context, l *ledger.Ledger) {
	select {
	case h.releasing <- struct{}{}:
		defer func() { <-h.releasing }()
	case <-ctx.Done():
		return
	}
	if err := h.sendReleases(ctx, l); err != nil && ctx.Err() == nil {
		h.cfg.Logger.Info("Release is not confirmed.", zap.Error(err))
	}
}

// sendReleases stops at the first command without an answer. A refused one
// stays listed and doesn't hold up the others.
func (h *Holder) sendReleases(ctx context.Context, l *ledger.Ledger) error {
	var refused error
	open := l.Released()
	for _, released := range open {
		// The log may drop the receipts of the releases before the first open
		// one. The ledger shares its records, so a copy is changed.
		released = proto.CloneOf(released)
		released.Confirmed = open[0].Sequence - 1
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
	h.progress.kick()
	return refused
}
