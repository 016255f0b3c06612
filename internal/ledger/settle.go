package ledger

import (
	"github.com/papayapond/papayapond/internal/wire"
)

// Settle bills requests to the allowances of an incarnation. It returns one
// outcome for each bill, and the journal position after the batch, when the
// batch is durable. A bill that was settled before is a duplicate, also for a
// fenced incarnation. With an error nothing is known about the batch; the
// caller may repeat it.
func (l *Ledger) Settle(h *wire.Holding, epoch uint64, bills []*wire.Bill) (outcomes []wire.Outcome, position uint64, err error) {
	if err := l.enter(); err != nil {
		return nil, 0, err
	}
	now := l.now()
	l.expire(now, len(bills))
	barred := epoch != l.epoch || l.fenced(h.GetInstance(), h.GetIncarnation())
	outcomes = make([]wire.Outcome, len(bills))
	batch := &wire.SettleRequest{Holding: h, Epoch: epoch}
	for i, b := range bills {
		if outcomes[i] = l.decide(h, barred, b, now); outcomes[i] != wire.Outcome_OUTCOME_BILLED {
			continue
		}
		b = trim(b)
		if l.applyBill(recordSettle, now, batch, b) != nil {
			outcomes[i] = wire.Outcome_OUTCOME_REFUSED
			continue
		}
		batch.Bills = append(batch.Bills, b)
	}
	if position, err = l.storeBills(recordSettle, now, batch); err != nil {
		return nil, 0, err
	}
	return outcomes, position, nil
}

// decide returns the outcome of a bill without changing anything.
func (l *Ledger) decide(h *wire.Holding, barred bool, b *wire.Bill, now int64) wire.Outcome {
	if !storable(b) {
		return wire.Outcome_OUTCOME_REFUSED
	}
	if e := l.find(b.Account, b.Request, now); e != nil {
		if e.digest != string(b.Digest) {
			return wire.Outcome_OUTCOME_CONFLICT
		}
		return wire.Outcome_OUTCOME_DUPLICATE
	}
	if barred {
		return wire.Outcome_OUTCOME_FENCED
	}
	if a, ok := l.accounts[b.Account]; ok && a.broken {
		return wire.Outcome_OUTCOME_REFUSED
	}
	al := l.holding(h.GetInstance(), h.GetIncarnation(), b.Account)
	if b.Amount > 0 && (al == nil || al.amount < b.Amount) {
		return wire.Outcome_OUTCOME_REFUSED
	}
	return wire.Outcome_OUTCOME_BILLED
}

// storeBills stores a batch that has been applied; an empty one waits for the
// records before it, on which duplicates rely. The ledger is unlocked.
func (l *Ledger) storeBills(k kind, now int64, batch *wire.SettleRequest) (position uint64, err error) {
	if len(batch.Bills) == 0 {
		return l.store()
	}
	record, err := encode(k, now, batch)
	if err != nil {
		// The books in memory are ahead of the journal.
		l.failed = err
		l.mu.Unlock()
		return 0, err
	}
	return l.store(record)
}

// storable reports whether a bill is complete and can be encoded.
func storable(b *wire.Bill) bool {
	return b != nil && b.Amount >= 0 && b.Account != "" && b.Request != "" &&
		valid(b.Account, b.Request, b.Model, b.Media, b.Target, b.Zone)
}

// trim returns the bill without an answer that is too large to be kept.
func trim(b *wire.Bill) *wire.Bill {
	if len(b.Answer) <= answerBytes {
		return b
	}
	return &wire.Bill{
		Account: b.Account, Request: b.Request, Digest: b.Digest, Model: b.Model, Prompt: b.Prompt,
		Output: b.Output, Amount: b.Amount, Reserved: b.Reserved, Time: b.Time, Media: b.Media,
		Status: b.Status, Zone: b.Zone, Target: b.Target, Keyed: b.Keyed,
	}
}
