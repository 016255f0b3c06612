package ledger

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// MergeBills records bills of other zones, so that this zone doesn't bill their
// requests again. A request that both zones have billed stays billed in the
// zone whose name sorts first; the other zone cancels its bill and frees the
// tokens. MergeBills skips bills of this zone, malformed bills, and bills whose
// identities have expired.
func (l *Ledger) MergeBills(bills []*wire.Bill) error {
	if err := l.lock(); err != nil {
		return err
	}
	now := l.now()
	l.expire(now, len(bills))
	foreign, cancel := &wire.SettleRequest{}, &wire.SettleRequest{}
	for _, b := range bills {
		if !storable(b) || b.Zone == l.cfg.Zone || b.Zone == "" {
			continue
		}
		e := l.lookupMatch(b, now)
		switch {
		case e == nil && b.Time > 0 && now-b.Time >= int64(identityTTL):
			// Merging it again would renew the identity each time.
		case e == nil:
			b = withoutLargeAnswer(b)
			_ = l.applyBill(recordForeign, now, foreign, b)
			foreign.Bills = append(foreign.Bills, b)
		case e.digest != string(b.Digest):
			l.cfg.Logger.Warn("zones billed different requests under one identity", zap.String("account", b.Account),
				zap.String("request", b.Request), zap.String("zone", b.Zone))
		case e.zone.Value() == l.cfg.Zone && b.Zone < l.cfg.Zone && !e.account.stopped:
			replacement := withoutLargeAnswer(b)
			replacement = &wire.Bill{
				Account: b.Account, Request: b.Request, Digest: b.Digest, Model: b.Model, Prompt: b.Prompt,
				Output: b.Output, Amount: b.Amount, Reserved: e.amount, Time: b.Time, Answer: replacement.Answer,
				Media: b.Media, Status: b.Status, Zone: b.Zone, Target: b.Target, Keyed: b.Keyed,
			}
			if l.applyBill(recordCancel, now, cancel, replacement) == nil {
				cancel.Bills = append(cancel.Bills, replacement)
			}
		}
	}
	return l.storeMerge(now, foreign, cancel)
}

// lookupMatch returns the entry of the request that a bill of another zone is
// for, or nil. Bills that are at least identityTTL apart belong to different
// requests.
func (l *Ledger) lookupMatch(b *wire.Bill, now int64) *entry {
	if e := l.lookup(b.Account, b.Request, now); e != nil {
		return e
	}
	e := l.lookupExpired(b.Account, b.Request)
	if e == nil || max(b.Time-e.recorded, e.recorded-b.Time) >= int64(identityTTL) {
		return nil
	}
	return e
}

// storeMerge stores the two records of MergeBills with one sync. Each identity
// is in only one of them, so their order doesn't matter.
func (l *Ledger) storeMerge(now int64, foreign, cancel *wire.SettleRequest) error {
	var records [][]byte
	for k, batch := range map[kind]*wire.SettleRequest{recordForeign: foreign, recordCancel: cancel} {
		if len(batch.Bills) == 0 {
			continue
		}
		record, err := encode(k, now, batch)
		if err != nil {
			l.failure = err
			l.mu.Unlock()
			return err
		}
		records = append(records, record)
	}
	_, err := l.store(records...)
	return err
}

// BeginEpoch starts a new epoch after a restore from a copy. It strands all
// unbilled tokens, since the lost epoch may have spent them after the copy's
// last record, and voids all allowances. The holder must then call MergeBills,
// Align and SettleRetained in this order, and FreeStranded once it has proof
// that no bills are outstanding. Repeating the current epoch has no effect.
func (l *Ledger) BeginEpoch(epoch uint64) error {
	if err := l.lock(); err != nil {
		return err
	}
	if epoch < l.epoch {
		defer l.mu.Unlock()
		return eris.Wrapf(fault.Fenced, "epoch %d is before the current epoch %d", epoch, l.epoch)
	}
	if epoch == l.epoch {
		_, err := l.store()
		return err
	}
	return l.commit(recordBegin, &wire.Epoch{Zone: l.cfg.Zone, Epoch: epoch})
}

// SettleRetained bills the requests of an earlier epoch whose bills entry
// instances have retained. They are paid from the stranded tokens. Bills that
// are known or were issued by a zone whose name sorts before this one are
// skipped. The error wraps fault.Exhausted if a bill exceeds the stranded
// tokens; the other bills are still settled.
func (l *Ledger) SettleRetained(epoch uint64, bills []*wire.Bill) error {
	if err := l.lock(); err != nil {
		return err
	}
	if epoch > l.epoch {
		defer l.mu.Unlock()
		return eris.Wrapf(fault.Malformed, "bills of epoch %d, but the current epoch is %d", epoch, l.epoch)
	}
	now := l.now()
	l.expire(now, len(bills))
	batch := &wire.SettleRequest{Epoch: epoch}
	var refused error
	for _, b := range bills {
		ok, err := l.shouldBill(b, epoch, now)
		if err != nil {
			refused = err
		}
		if !ok || err != nil {
			continue
		}
		b = withoutLargeAnswer(b)
		if err := l.applyBill(recordKeep, now, batch, b); err != nil {
			refused = err
			continue
		}
		batch.Bills = append(batch.Bills, b)
	}
	if _, err := l.storeBills(recordKeep, now, batch); err != nil {
		return err
	}
	return refused
}

// shouldBill reports whether a retained bill must be billed, or why it can't
// be.
func (l *Ledger) shouldBill(b *wire.Bill, epoch uint64, now int64) (bool, error) {
	if !storable(b) {
		return false, eris.Wrap(fault.Malformed, "retained bill is incomplete or malformed")
	}
	e := l.lookup(b.Account, b.Request, now)
	if e != nil && (e.zone.Value() <= l.cfg.Zone || e.digest != string(b.Digest)) {
		return false, nil
	}
	a, err := l.activeAccount(b.Account)
	if err != nil {
		return false, err
	}
	if epoch == l.epoch {
		return false, eris.Wrapf(fault.Malformed, "request %s: retained bill is of the current epoch", b.Request)
	}
	if b.Amount > a.stranded {
		return false, eris.Wrapf(fault.Exhausted, "account %s: bill of %d tokens exceeds %d stranded tokens", b.Account, b.Amount, a.stranded)
	}
	return true, nil
}

// FreeStranded frees the stranded tokens of an account. The caller must have
// proof that no bill of an earlier epoch is outstanding.
func (l *Ledger) FreeStranded(account string) error {
	if err := checkStorable(account); err != nil {
		return err
	}
	if err := l.lock(); err != nil {
		return err
	}
	a, err := l.activeAccount(account)
	if err != nil {
		l.mu.Unlock()
		return err
	}
	if a.stranded == 0 && !a.recovering {
		_, err := l.store()
		return err
	}
	return l.commit(recordFree, &wire.Grant{Account: account})
}
