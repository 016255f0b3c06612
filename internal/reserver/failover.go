package reserver

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// failoverDelay is the time without an outcome after which a bill is
	// settled with another ledger too.
	failoverDelay = time.Second
	// resolveLimit is how long the first ledger is asked for its outcome after
	// the bill has been settled with another one.
	resolveLimit = 10 * time.Minute
)

// failover settles a bill with another ledger, from rights drawn there, when
// the ledger of its allowance doesn't answer. Each ledger bills within rights
// of its own, so the account can't overspend; if the first ledger has billed
// the request too, one of the two bills is cancelled when their zones exchange
// journals.
func (r *Reserver) failover(ctx context.Context, x *settlement) (wire.Outcome, error) {
	first := x.ticket.allowance.holder
	// The next reservation must not be from its rights again.
	r.shun(first)
	id, err := r.Reserve(ctx, x.bill.Account, x.bill.Amount)
	if err != nil {
		return x.wait(ctx)
	}
	s := &r.shards[id&(shards-1)]
	s.mu.Lock()
	t := s.tickets[id]
	if t.allowance == nil || t.allowance.holder == first {
		s.mu.Unlock()
		r.Cancel(id)
		return x.wait(ctx)
	}
	delete(s.tickets, id)
	s.mu.Unlock()
	r.cfg.Logger.Info("Ledger doesn't answer, settling with another one.", zap.String("holder", first), zap.String("other", t.allowance.holder), zap.String("request", x.bill.Request))
	y := &settlement{ticket: t, bill: x.bill, deadline: r.cfg.Now().Add(settleLimit), done: make(chan struct{})}
	r.enqueue(r.sender(t.allowance.holder), y)
	select {
	case <-x.done:
		return x.outcome, x.err
	case <-y.done:
		if y.err != nil || y.outcome == wire.Outcome_OUTCOME_FENCED || y.outcome == wire.Outcome_OUTCOME_REFUSED {
			return x.wait(ctx)
		}
		r.prolong(x)
		return y.outcome, y.err
	case <-ctx.Done():
		return wire.Outcome_OUTCOME_NONE, eris.Wrapf(fault.Unsettled, "request %s: %v", x.bill.Request, ctx.Err())
	}
}

// prolong lets the first ledger have more time for its outcome, so that the
// tokens of its allowance are accounted for.
func (r *Reserver) prolong(x *settlement) {
	s := r.sender(x.ticket.allowance.holder)
	s.mu.Lock()
	defer s.mu.Unlock()
	x.deadline = r.cfg.Now().Add(resolveLimit)
}

// wait returns the outcome of a settlement.
func (x *settlement) wait(ctx context.Context) (wire.Outcome, error) {
	select {
	case <-x.done:
		return x.outcome, x.err
	case <-ctx.Done():
		return wire.Outcome_OUTCOME_NONE, eris.Wrapf(fault.Unsettled, "request %s: %v", x.bill.Request, ctx.Err())
	}
}
