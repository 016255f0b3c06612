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
	// settleLimit is how long the bill of an answered request is resent while
	// its outcome is unknown.
	settleLimit = 5 * time.Second
	// settleTimeout bounds one call. A ledger without a reachable copy answers
	// after 200 ms.
	settleTimeout = time.Second
	// settlePause and settlePauseLimit bound the growing pause between calls
	// with an unknown outcome.
	settlePause      = 10 * time.Millisecond
	settlePauseLimit = 250 * time.Millisecond
	// flightLimit bounds the calls to one holder at a time. A bill that arrives
	// during a call would else wait for its end; the journal syncs the batches
	// of several calls together.
	flightLimit = 4
	// batchLimit and batchBytes bound one call, below the message limit of
	// 4 MiB.
	batchLimit = 512
	batchBytes = 1 << 20
	// billBytes is the size of a bill without its answer.
	billBytes = 256
)

// sender settles the bills of one holder. Its goroutines run while bills are
// queued, so that bills that arrive while all of them make a call share the
// next one.
type sender struct {
	holder  string
	mu      sync.Mutex
	queue   []*settlement
	flights int // goroutines
	kept    keeper
	// polling is set while the copied position is asked for.
	polling bool
}

// settlement is a bill on its way. Outcome and err are set before done is
// closed.
type settlement struct {
	ticket   ticket
	bill     *wire.Bill
	deadline time.Time
	sent     bool // a call with an unknown outcome contained it
	outcome  wire.Outcome
	err      error
	done     chan struct{}
}

// Settle bills an answered request and ends its reservation. It returns after
// the reply of the ledger that issued the allowance. While the outcome is
// unknown, the bill is resent, and after 1 s it is settled with another ledger
// too; after 5 s without an outcome Settle fails with fault.Unsettled. It also
// does so when ctx ends before the reply; the bill is then sent all the same.
func (r *Reserver) Settle(ctx context.Context, id uint64, bill *wire.Bill) (wire.Outcome, error) {
	s := &r.shards[id&(shards-1)]
	s.mu.Lock()
	t, ok := s.tickets[id]
	if ok && bill.Amount <= t.amount {
		delete(s.tickets, id)
	}
	s.mu.Unlock()
	if !ok {
		return wire.Outcome_OUTCOME_NONE, eris.Wrapf(fault.Internal, "ticket %d is unknown", id)
	}
	if bill.Amount > t.amount || bill.Amount < 0 {
		return wire.Outcome_OUTCOME_REFUSED, eris.Wrapf(fault.Broken, "bill of %d tokens on a reservation of %d", bill.Amount, t.amount)
	}
	bill.Reserved = t.amount
	x := &settlement{ticket: t, bill: bill, deadline: r.cfg.Now().Add(settleLimit), done: make(chan struct{})}
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
	if s.flights < flightLimit {
		s.flights++
		go r.send(s)
	}
}

// send settles batches until the queue is empty.
func (r *Reserver) send(s *sender) {
	pause := settlePause
	for {
		batch := r.batch(s)
		if len(batch) == 0 {
			return
		}
		if err := r.sendBatch(s, batch); err != nil {
			level := zap.DebugLevel
			if pause == settlePause {
				level = zap.WarnLevel
			}
			r.cfg.Logger.Log(level, "Settle has no outcome, resending.", zap.String("holder", s.holder), zap.Int("bills", len(batch)), zap.Error(err))
			s.mu.Lock()
			s.queue = append(batch, s.queue...)
			s.mu.Unlock()
			r.shun(s.holder)
			time.Sleep(pause)
			pause = min(2*pause, settlePauseLimit)
			continue
		}
		pause = settlePause
	}
}

// batch takes the first bills of one allowance source from the queue, after
// it has failed those whose time is over. Without any, the goroutine of the
// caller ends.
func (r *Reserver) batch(s *sender) []*settlement {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := r.cfg.Now()
	var batch, rest []*settlement
	size := 0
	for _, x := range s.queue {
		switch {
		case !now.Before(x.deadline):
			r.expire(x)
		case len(batch) == 0 || x.ticket.allowance.source == batch[0].ticket.allowance.source && len(batch) < batchLimit && size < batchBytes:
			batch = append(batch, x)
			size += billBytes + len(x.bill.Answer)
		default:
			rest = append(rest, x)
		}
	}
	s.queue = rest
	if len(batch) == 0 {
		s.flights--
	}
	return batch
}

// expire fails a settlement. Its tokens become free only if no call contained
// the bill; otherwise the ledger may have billed it or may still do so. The
// part that the bill doesn't need is found by a later draw.
func (r *Reserver) expire(x *settlement) {
	free := x.ticket.amount
	if x.sent {
		free = 0
		x.ticket.account.shard.mu.Lock()
		x.ticket.allowance.doubt += x.ticket.amount
		x.ticket.account.shard.mu.Unlock()
	}
	r.finish(x, free, wire.Outcome_OUTCOME_NONE, eris.Wrapf(fault.Unsettled, "request %s: no outcome within %v", x.bill.Request, settleLimit))
}

func (r *Reserver) sendBatch(s *sender, batch []*settlement) error {
	l := batch[0].ticket.allowance
	request := &wire.SettleRequest{Holding: l.holding(), Epoch: l.epoch}
	for _, x := range batch {
		request.Bills = append(request.Bills, x.bill)
	}
	reply, err := r.callSettle(s, request)
	if err == nil && len(reply.Outcomes) != len(batch) {
		err = eris.Wrapf(fault.Internal, "%d outcomes for %d bills", len(reply.Outcomes), len(batch))
	}
	if err == nil {
		err = s.keep(l.source, request, reply)
	}
	if err != nil {
		for _, x := range batch {
			x.sent = true
		}
		return err
	}
	r.trust(s.holder)
	for i, x := range batch {
		r.conclude(x, reply.Outcomes[i])
	}
	return nil
}

// callSettle makes one call. A fault in the reply is an error: a ledger that
// knows the outcome says so per bill.
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

// conclude ends the reservation according to the outcome.
func (r *Reserver) conclude(x *settlement, outcome wire.Outcome) {
	free := x.ticket.amount
	switch outcome {
	case wire.Outcome_OUTCOME_BILLED:
		free -= x.bill.Amount
	case wire.Outcome_OUTCOME_DUPLICATE:
		// The duplicate can be this bill itself, which used up its tokens. If it
		// isn't, the next draw finds them.
		free -= x.bill.Amount
		r.miss(x.ticket)
	case wire.Outcome_OUTCOME_CONFLICT:
	default:
		// The ledger doesn't honour the allowance any more.
		r.void(x.ticket)
		r.cfg.Logger.Warn("Bill refused.", zap.String("account", x.bill.Account), zap.String("request", x.bill.Request), zap.Stringer("outcome", outcome))
		free = 0
	}
	r.finish(x, free, outcome, nil)
}

func (r *Reserver) finish(x *settlement, free int64, outcome wire.Outcome, err error) {
	shard := x.ticket.account.shard
	shard.mu.Lock()
	x.ticket.allowance.give(x.ticket.amount, free)
	shard.mu.Unlock()
	x.outcome, x.err = outcome, err
	close(x.done)
}

// miss has the account draw once more, to find tokens that the ledger may still
// count for this instance.
func (r *Reserver) miss(t ticket) {
	t.account.shard.mu.Lock()
	defer t.account.shard.mu.Unlock()
	t.account.miss(t.allowance.holder, r.cfg.Now())
}

func (r *Reserver) void(t ticket) {
	t.account.shard.mu.Lock()
	defer t.account.shard.mu.Unlock()
	t.allowance.void, t.allowance.free = true, 0
}
