package reserver

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// settleDeadline is how long a bill is resent while its outcome is unknown.
	settleDeadline = 5 * time.Second
	// settleTimeout bounds one call. A ledger without a reachable copy replies
	// after 200 ms.
	settleTimeout = time.Second
	// minSettleBackoff and maxSettleBackoff bound the exponential backoff
	// between calls with an unknown outcome.
	minSettleBackoff = 10 * time.Millisecond
	maxSettleBackoff = 250 * time.Millisecond
	// maxInFlight limits the concurrent calls to one holder. With a single
	// call, a bill that arrives during the call would wait for its end. The
	// journal syncs the batches of concurrent calls together.
	maxInFlight = 4
	// maxBatchBills and maxBatchBytes limit one call. They keep it below the
	// message limit of 4 MiB.
	maxBatchBills = 512
	maxBatchBytes = 1 << 20
	// billOverheadBytes is the estimated size of a bill without its answer.
	billOverheadBytes = 256
)

// sender settles the bills of one holder. Its goroutines run while bills are
// queued. Bills that arrive while all of them are in a call share the next
// batch.
type sender struct {
	holder   string
	mu       sync.Mutex
	queue    []*settlement
	inFlight int // running goroutines
	retained retainedBills
	// polling is set during a request for the copied position.
	polling bool
}

// settlement is a bill to be settled. outcome and err are set before done is
// closed.
type settlement struct {
	reservation reservation
	bill        *wire.Bill
	deadline    time.Time
	sent        bool // a call with an unknown outcome contained the bill
	outcome     wire.Outcome
	err         error
	done        chan struct{}
}

// Settle bills a completed request and ends its reservation. It returns after
// the reply of the ledger that issued the allowance. While the outcome is
// unknown, the bill is resent, and after 1 s it is also settled with another
// ledger. After 5 s without an outcome Settle returns fault.Unsettled. It does
// the same if ctx ends before the reply; the bill is still sent.
func (r *Reserver) Settle(ctx context.Context, id uint64, bill *wire.Bill) (wire.Outcome, error) {
	s := &r.shards[id&(shardCount-1)]
	s.mu.Lock()
	t, ok := s.reservations[id]
	if ok && bill.Amount <= t.amount {
		delete(s.reservations, id)
	}
	s.mu.Unlock()
	if !ok {
		return wire.Outcome_OUTCOME_NONE, eris.Wrapf(fault.Internal, "reservation %d is unknown", id)
	}
	if bill.Amount > t.amount || bill.Amount < 0 {
		return wire.Outcome_OUTCOME_REFUSED, eris.Wrapf(fault.Broken, "bill of %d tokens, want 0 to %d as reserved", bill.Amount, t.amount)
	}
	bill.Reserved = t.amount
	x := &settlement{reservation: t, bill: bill, deadline: r.cfg.Now().Add(settleDeadline), done: make(chan struct{})}
	r.enqueue(r.sender(t.allowance.holder), x)
	timer := time.NewTimer(failoverDelay)
	defer timer.Stop()
	select {
	case <-x.done:
		return x.outcome, x.err
	case <-ctx.Done():
		return wire.Outcome_OUTCOME_NONE, eris.Wrapf(fault.Unsettled, "request %s: %v", bill.Request, ctx.Err())
	case <-timer.C:
		return r.failover(ctx, x)
	}
}

func (r *Reserver) sender(holder string) *sender {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.senders[holder]
	if s == nil {
		s = &sender{holder: holder}
		r.senders[holder] = s
	}
	return s
}

func (r *Reserver) enqueue(s *sender, x *settlement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, x)
	if s.inFlight < maxInFlight {
		s.inFlight++
		go r.send(s)
	}
}

// send settles batches until the queue is empty.
func (r *Reserver) send(s *sender) {
	backoff := minSettleBackoff
	for {
		batch := r.nextBatch(s)
		if len(batch) == 0 {
			return
		}
		if err := r.sendBatch(s, batch); err != nil {
			level := zap.DebugLevel
			if backoff == minSettleBackoff {
				level = zap.WarnLevel
			}
			r.cfg.Logger.Log(level, "settle outcome unknown, retrying", zap.String("holder", s.holder), zap.Int("bills", len(batch)), zap.Error(err))
			s.mu.Lock()
			s.queue = append(batch, s.queue...)
			s.mu.Unlock()
			r.markFailed(s.holder)
			time.Sleep(backoff)
			backoff = min(2*backoff, maxSettleBackoff)
			continue
		}
		backoff = minSettleBackoff
	}
}

// nextBatch takes the first bills with the same allowance source from the
// queue, after failing those past their deadline. If it returns none, the
// calling goroutine must end.
func (r *Reserver) nextBatch(s *sender) []*settlement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.cfg.Now()
	var batch, rest []*settlement
	size := 0
	for _, x := range s.queue {
		switch {
		case !now.Before(x.deadline):
			r.expire(x)
		case len(batch) == 0 || x.reservation.allowance.source == batch[0].reservation.allowance.source && len(batch) < maxBatchBills && size < maxBatchBytes:
			batch = append(batch, x)
			size += billOverheadBytes + len(x.bill.Answer)
		default:
			rest = append(rest, x)
		}
	}
	s.queue = rest
	if len(batch) == 0 {
		s.inFlight--
	}
	return batch
}

// expire fails a settlement past its deadline. Its tokens are freed only if no
// call contained the bill; otherwise the ledger may have billed it or may still
// do so. A later draw recovers the part that isn't billed.
func (r *Reserver) expire(x *settlement) {
	free := x.reservation.amount
	if x.sent {
		free = 0
		x.reservation.account.shard.mu.Lock()
		x.reservation.allowance.uncertain += x.reservation.amount
		x.reservation.account.shard.mu.Unlock()
	}
	r.finish(x, free, wire.Outcome_OUTCOME_NONE, eris.Wrapf(fault.Unsettled, "request %s: no outcome within %v", x.bill.Request, settleDeadline))
}

func (r *Reserver) sendBatch(s *sender, batch []*settlement) error {
	l := batch[0].reservation.allowance
	request := &wire.SettleRequest{Holding: l.holding(), Epoch: l.epoch}
	for _, x := range batch {
		request.Bills = append(request.Bills, x.bill)
	}
	reply, err := r.callSettle(s, request)
	if err == nil && len(reply.Outcomes) != len(batch) {
		err = eris.Wrapf(fault.Internal, "%d outcomes for %d bills", len(reply.Outcomes), len(batch))
	}
	if err == nil {
		err = s.retain(l.source, request, reply)
	}
	if err != nil {
		for _, x := range batch {
			x.sent = true
		}
		return err
	}
	r.markHealthy(s.holder)
	for i, x := range batch {
		r.complete(x, reply.Outcomes[i])
	}
	return nil
}

// callSettle makes one call. It returns a fault in the reply as an error, since
// a ledger reports known outcomes per bill.
func (r *Reserver) callSettle(s *sender, request *wire.SettleRequest) (*wire.SettleReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	reply, err := r.cfg.Settle(ctx, s.holder, request)
	if err == nil {
		err = reply.Fault.Err()
	}
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// complete ends the reservation according to the outcome.
func (r *Reserver) complete(x *settlement, outcome wire.Outcome) {
	free := x.reservation.amount
	switch outcome {
	case wire.Outcome_OUTCOME_BILLED:
		free -= x.bill.Amount
	case wire.Outcome_OUTCOME_DUPLICATE:
		// The duplicate may be this bill itself, whose tokens are spent. If it
		// isn't, the next draw recovers them.
		free -= x.bill.Amount
		r.markLostReply(x.reservation)
	case wire.Outcome_OUTCOME_CONFLICT:
	default:
		// The ledger no longer accepts bills on the allowance.
		r.revoke(x.reservation)
		r.cfg.Logger.Warn("bill refused", zap.String("account", x.bill.Account), zap.String("request", x.bill.Request), zap.Stringer("outcome", outcome))
		free = 0
	}
	r.finish(x, free, outcome, nil)
}

func (r *Reserver) finish(x *settlement, free int64, outcome wire.Outcome, err error) {
	shard := x.reservation.account.shard
	shard.mu.Lock()
	x.reservation.allowance.release(x.reservation.amount, free)
	shard.mu.Unlock()
	x.outcome, x.err = outcome, err
	close(x.done)
}

// markLostReply has the account draw again, to recover tokens that the ledger
// may still count for this instance.
func (r *Reserver) markLostReply(t reservation) {
	t.account.shard.mu.Lock()
	defer t.account.shard.mu.Unlock()
	t.account.markLostReply(t.allowance.holder, r.cfg.Now())
}

func (r *Reserver) revoke(t reservation) {
	t.account.shard.mu.Lock()
	defer t.account.shard.mu.Unlock()
	t.allowance.revoked, t.allowance.free = true, 0
}
