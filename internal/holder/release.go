package holder

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

// tailShare is the unspent part of a budget below which no reserve is kept, as
// a divisor: 2%.
const tailShare = 50

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
	h.grants.mu.Lock()
	a := h.grants.account(t.Account)
	if a.last == 0 {
		// After a restart, the free rights stand for the last grant.
		a.last = t.Free
	}
	last := a.last
	h.grants.mu.Unlock()
	keep := int64(h.cfg.Reserve() * float64(last))
	if t.Free-amount >= keep {
		return amount
	}
	if h.nearlySpent(ctx, t.Account) {
		return amount
	}
	return t.Free - keep
}

// nearlySpent tells whether less than 2% of the budget is unspent and all
// zones are connected.
func (h *Holder) nearlySpent(ctx context.Context, account string) bool {
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
	for _, other := range h.cfg.Others {
		call, cancel := context.WithTimeout(ctx, callTimeout/4)
		reply, err := h.cfg.Tally(call, other, &wire.TallyRequest{Account: account})
		cancel()
		if err != nil || reply.Fault != nil {
			return false
		}
		for _, t := range reply.Tallies {
			unspent -= t.Billed
		}
	}
	return unspent < budget/tailShare
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
