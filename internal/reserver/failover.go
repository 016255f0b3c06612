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
	// failoverDelay is how long a bill may lack an outcome before it is also
	// settled with another ledger.
	failoverDelay = time.Second
	// resolveTimeout is how long the first ledger is asked for its outcome
	// after another ledger has settled the bill.
	resolveTimeout = 10 * time.Minute
)

// failover settles a bill with another ledger, on tokens drawn there, when the
// ledger of its allowance doesn't respond. Each ledger bills within its own
// tokens, so the account can't overspend. If the first ledger has billed the
// request too, one of the bills is cancelled when the zones exchange journals.
func (r *Reserver) failover(ctx context.Context, x *settlement) (wire.Outcome, error) {
	first := x.reservation.allowance.holder
	// Don't reserve from the first holder again.
	r.markFailed(first)
	id, err := r.Reserve(ctx, x.bill.Account, x.bill.Amount)
	if err != nil {
		return x.wait(ctx)
	}
	s := &r.shards[id&(shardCount-1)]
	s.mu.Lock()
	t := s.reservations[id]
	if t.allowance == nil || t.allowance.holder == first {
		s.mu.Unlock()
		r.Cancel(id)
		return x.wait(ctx)
	}
	delete(s.reservations, id)
	s.mu.Unlock()
	r.cfg.Logger.Info("ledger not responding, settling with another one", zap.String("holder", first), zap.String("other", t.allowance.holder), zap.String("request", x.bill.Request))
	y := &settlement{reservation: t, bill: x.bill, deadline: r.cfg.Now().Add(settleDeadline), done: make(chan struct{})}
	r.enqueue(r.sender(t.allowance.holder), y)
	select {
	case <-x.done:
		return x.outcome, x.err
	case <-y.done:
		if y.err != nil || y.outcome == wire.Outcome_OUTCOME_FENCED || y.outcome == wire.Outcome_OUTCOME_REFUSED {
			return x.wait(ctx)
		}
		r.extendDeadline(x)
		return y.outcome, y.err
	case <-ctx.Done():
		return wire.Outcome_OUTCOME_NONE, eris.Wrapf(fault.Unsettled, "request %s: %v", x.bill.Request, ctx.Err())
	}
}

// extendDeadline gives the first ledger more time to report its outcome, so
// that the tokens of its allowance are accounted for.
func (r *Reserver) extendDeadline(x *settlement) {
	s := r.sender(x.reservation.allowance.holder)
	s.mu.Lock()
	defer s.mu.Unlock()
	x.deadline = r.cfg.Now().Add(resolveTimeout)
}

// wait waits for the outcome of a settlement.
func (x *settlement) wait(ctx context.Context) (wire.Outcome, error) {
	select {
	case <-x.done:
		return x.outcome, x.err
	case <-ctx.Done():
		return wire.Outcome_OUTCOME_NONE, eris.Wrapf(fault.Unsettled, "request %s: %v", x.bill.Request, ctx.Err())
	}
}
