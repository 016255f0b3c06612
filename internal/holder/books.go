package holder

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// grantTimeout bounds the wait of a draw for a grant from the replicated
	// log.
	grantTimeout = time.Second
	// maxTallyRows limits the rows of one Tally reply.
	maxTallyRows = 1000
)

var _ wire.DRPCBooksServer = (*Holder)(nil)

// currentLedger returns the ledger, or an error that wraps fault.Unavailable
// while it is not open.
func (h *Holder) currentLedger() (*ledger.Ledger, error) {
	if l := h.ledger.Load(); l != nil {
		return l, nil
	}
	return nil, eris.Wrapf(fault.Unavailable, "ledger of zone %s is not open", h.cfg.Zone)
}

// Draw assigns tokens to an allowance. If too few tokens are free, it requests
// a grant from the replicated log and waits up to one second. Held in the reply
// is the total that the incarnation may bill to the account, so a reply makes
// up for earlier ones that were lost.
func (h *Holder) Draw(ctx context.Context, request *wire.DrawRequest) (*wire.DrawReply, error) {
	l, err := h.currentLedger()
	if err == nil && h.closing.Load() {
		err = eris.Wrap(fault.Closed, "tokens are being released for dissolution")
	}
	if err != nil {
		return &wire.DrawReply{Fault: wire.NewFault(err)}, nil
	}
	need := max(request.Need, 1)
	h.grants.addDemand(request.Account, need, h.cfg.Now())
	amount, held, err := h.draw(ctx, l, request, need)
	// The epoch lets the caller bill requests without a price.
	reply := &wire.DrawReply{Fault: wire.NewFault(err), Amount: amount, Epoch: l.Epoch(), Held: held}
	if err != nil {
		return reply, nil
	}
	h.progress.wakeCopiers()
	h.grants.addDemand(request.Account, amount-need, h.cfg.Now())
	h.grants.addNetDrawn(request.Account, amount, h.cfg.Now())
	h.refill(l, tally(l, request.Account))
	return reply, nil
}

// draw draws from the ledger and requests grants while too few tokens are free.
func (h *Holder) draw(ctx context.Context, l *ledger.Ledger, request *wire.DrawRequest, need int64) (amount, held int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	for {
		reserve := h.reserveFor(ctx, l, request, need)
		amount, held, err = l.Draw(request.Holding, request.Account, need, request.Want, reserve)
		if err == nil || fault.Of(err) != fault.Exhausted || !h.acquireTokens(ctx, l, request.Account, need+reserve, 0) {
			return amount, held, err
		}
	}
}

// Return takes back unused tokens of an allowance.
func (h *Holder) Return(_ context.Context, request *wire.ReturnRequest) (*wire.ReturnReply, error) {
	l, err := h.currentLedger()
	if err == nil {
		err = l.Return(request.Holding, request.Account, request.Epoch, request.Amount, request.Sequence)
	}
	if err == nil {
		h.progress.wakeCopiers()
		h.grants.addNetDrawn(request.Account, -request.Amount, h.cfg.Now())
	}
	return &wire.ReturnReply{Fault: wire.NewFault(err)}, nil
}

// Settle bills requests. It replies once another holder has a durable copy of
// the records, or without one in solo mode, where a witness retains the bills
// of this instance itself. A request without bills queries the copied position
// and whether the ledger accepts bills.
func (h *Holder) Settle(ctx context.Context, request *wire.SettleRequest) (*wire.SettleReply, error) {
	l, err := h.currentLedger()
	if err == nil {
		err = l.Err()
	}
	if err != nil {
		return &wire.SettleReply{Fault: wire.NewFault(err)}, nil
	}
	reply := &wire.SettleReply{}
	if len(request.Bills) > 0 {
		reply.Outcomes, reply.Position, err = l.Settle(request.Holding, request.Epoch, request.Bills)
		if err != nil {
			return &wire.SettleReply{Fault: wire.NewFault(err)}, nil
		}
		h.logBills(request, reply.Outcomes)
		if h.progress.wait(ctx, reply.Position) {
			h.cfg.Logger.Warn("entering solo mode, no copy within 200 ms", zap.Uint64("position", reply.Position))
		}
	}
	if request.Holding.GetInstance() == h.cfg.Name {
		if err := h.ensureReplicated(ctx, l, reply.Position, acknowledged(request.Bills, reply.Outcomes)); err != nil {
			return &wire.SettleReply{Fault: wire.NewFault(err)}, nil
		}
	}
	copied, solo := h.progress.state(reply.Position)
	reply.Solo = solo
	if request.Epoch == l.Epoch() {
		reply.Copied = copied
	}
	return reply, nil
}

// acknowledged returns the bills whose success is reported to a caller.
func acknowledged(bills []*wire.Bill, outcomes []wire.Outcome) []*wire.Bill {
	var list []*wire.Bill
	for i, b := range bills {
		if outcomes[i] == wire.Outcome_OUTCOME_BILLED || outcomes[i] == wire.Outcome_OUTCOME_DUPLICATE {
			list = append(list, b)
		}
	}
	return list
}

// logBills logs each bill at debug level.
func (h *Holder) logBills(request *wire.SettleRequest, outcomes []wire.Outcome) {
	if !h.cfg.Logger.Core().Enabled(zap.DebugLevel) {
		return
	}
	for i, b := range request.Bills {
		h.cfg.Logger.Debug("bill stored", zap.String("request", b.Request), zap.String("account", b.Account), zap.String("entry", request.Holding.GetInstance()),
			zap.Int64("amount", b.Amount), zap.Stringer("outcome", outcomes[i]))
	}
}

// Find looks up a request identity. It reports a bill of this zone only once
// the bill survives a disk loss, because the caller receives the answer.
func (h *Holder) Find(ctx context.Context, request *wire.FindRequest) (*wire.FindReply, error) {
	l, err := h.currentLedger()
	if err != nil {
		return &wire.FindReply{Fault: wire.NewFault(err)}, nil
	}
	bill, conflict := l.FindBill(request.Account, request.Request, request.Digest)
	if bill != nil && bill.Zone == h.cfg.Zone {
		position := h.journal.Next()
		h.progress.wait(ctx, position)
		if err := h.ensureReplicated(ctx, l, position, []*wire.Bill{bill}); err != nil {
			return &wire.FindReply{Fault: wire.NewFault(err)}, nil
		}
	}
	h.cfg.Logger.Debug("identity looked up", zap.String("request", request.Request), zap.String("account", request.Account), zap.Bool("known", bill != nil || conflict))
	return &wire.FindReply{Known: bill != nil || conflict, Bill: bill, Conflict: conflict}, nil
}

// Tally returns the balances. With bills, it pages over the bills of the
// account and returns the balances with the first page; otherwise it pages over
// the accounts.
func (h *Holder) Tally(_ context.Context, request *wire.TallyRequest) (*wire.TallyReply, error) {
	l, err := h.currentLedger()
	if err != nil {
		return &wire.TallyReply{Fault: wire.NewFault(err)}, nil
	}
	limit := int(request.Limit)
	if limit == 0 || limit > maxTallyRows {
		limit = maxTallyRows
	}
	reply := &wire.TallyReply{Zone: h.cfg.Zone, Epoch: l.Epoch()}
	if request.Bills {
		bills := l.Bills(request.Account, int(request.Offset), limit+1)
		reply.Bills, reply.More = paginate(bills, 0, limit)
		if request.Offset == 0 {
			reply.Tallies, _ = paginate(l.Tally(request.Account), 0, limit)
		}
		return reply, nil
	}
	reply.Tallies, reply.More = paginate(l.Tally(request.Account), int(request.Offset), limit)
	return reply, nil
}

// Copy stores journal records of another zone.
func (h *Holder) Copy(_ context.Context, request *wire.CopyRequest) (*wire.CopyReply, error) {
	r, err := h.replica(request.Zone, true)
	if err != nil {
		return &wire.CopyReply{Fault: wire.NewFault(err)}, nil
	}
	next, err := r.write(request, h.cfg.Now().UnixNano())
	return &wire.CopyReply{Fault: wire.NewFault(err), Position: next}, nil
}

// Fetch returns the copied records of another zone. A position past the end
// returns the end.
func (h *Holder) Fetch(_ context.Context, request *wire.FetchRequest) (*wire.FetchReply, error) {
	r, err := h.replica(request.Zone, false)
	if err == nil && r == nil {
		err = eris.Wrapf(fault.Missing, "no copy of zone %s", request.Zone)
	}
	if err != nil {
		return &wire.FetchReply{Fault: wire.NewFault(err)}, nil
	}
	reply, err := r.read(request.Position)
	if err != nil {
		return &wire.FetchReply{Fault: wire.NewFault(err)}, nil
	}
	return reply, nil
}

// tally returns the balances of an account, or zeros if the ledger doesn't know
// it.
func tally(l *ledger.Ledger, account string) *wire.Tally {
	for _, t := range l.Tally(account) {
		return t
	}
	return &wire.Tally{Account: account}
}

// paginate returns at most limit rows starting at offset, and whether there are
// more.
func paginate[T any](rows []T, offset, limit int) ([]T, bool) {
	rows = rows[min(offset, len(rows)):]
	if len(rows) > limit {
		return rows[:limit], true
	}
	return rows, false
}
