package ledger

import (
	"github.com/papayapond/papayapond/internal/wire"
)

// Settle charges bills to the allowances of an incarnation. It returns one
// outcome for each bill, and the journal position after the batch, once the
// batch is durable. A bill that was settled before is a duplicate, even for a
// fenced incarnation. After an error the outcomes are unknown, and the caller
// may retry the batch.
func (l *Ledger) Settle(h *wire.Holding, epoch uint64, bills []*wire.Bill) (outcomes []wire.Outcome, position uint64, err error) {
	if err := l.lock(); err != nil {
		return nil, 0, err
	}
	now := l.now()
	l.expire(now, len(bills))
	stale := epoch != l.epoch || l.fenced(h.GetInstance(), h.GetIncarnation())
	outcomes = make([]wire.Outcome, len(bills))
	batch := &wire.SettleRequest{Holding: h, Epoch: epoch}
	for i, b := range bills {
		if outcomes[i] = l.outcome(h, stale, b, now); outcomes[i] != wire.Outcome_OUTCOME_BILLED {
			continue
		}
		b = withoutLargeAnswer(b)
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

// outcome returns the outcome of a bill without changing any state.
func (l *Ledger) outcome(h *wire.Holding, stale bool, b *wire.Bill, now int64) wire.Outcome {
	if !storable(b) {
		return wire.Outcome_OUTCOME_REFUSED
	}
	if e := l.lookup(b.Account, b.Request, now); e != nil {
		if e.digest != string(b.Digest) {
			return wire.Outcome_OUTCOME_CONFLICT
		}
		return wire.Outcome_OUTCOME_DUPLICATE
	}
	if stale {
		return wire.Outcome_OUTCOME_FENCED
	}
	if a, ok := l.accounts[b.Account]; ok && a.stopped {
		return wire.Outcome_OUTCOME_REFUSED
	}
	al := l.allowance(h.GetInstance(), h.GetIncarnation(), b.Account)
	if b.Amount > 0 && (al == nil || al.amount < b.Amount) {
		return wire.Outcome_OUTCOME_REFUSED
	}
	return wire.Outcome_OUTCOME_BILLED
}

// storeBills stores a batch that has been applied and unlocks the ledger. For
// an empty batch it waits until earlier records are durable, on which
// duplicates rely.
func (l *Ledger) storeBills(k kind, now int64, batch *wire.SettleRequest) (position uint64, err error) {
	if len(batch.Bills) == 0 {
		return l.store()
	}
	record, err := encode(k, now, batch)
	if err != nil {
		// The state in memory is ahead of the journal.
		l.failure = err
		l.mu.Unlock()
		return 0, err
	}
	return l.store(record)
}

// storable reports whether a bill is complete and can be encoded.
func storable(b *wire.Bill) bool {
	return b != nil && b.Amount >= 0 && b.Account != "" && b.Request != "" &&
		validUTF8(b.Account, b.Request, b.Model, b.Media, b.Target, b.Zone)
}

// withoutLargeAnswer returns the bill without its answer if that is too large
// to keep.
func withoutLargeAnswer(b *wire.Bill) *wire.Bill {
	if len(b.Answer) <= maxAnswerBytes {
		return b
	}
	return &wire.Bill{
		Account: b.Account, Request: b.Request, Digest: b.Digest, Model: b.Model, Prompt: b.Prompt,
		Output: b.Output, Amount: b.Amount, Reserved: b.Reserved, Time: b.Time, Media: b.Media,
		Status: b.Status, Zone: b.Zone, Target: b.Target, Keyed: b.Keyed,
	}
}
