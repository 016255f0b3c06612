package ledger

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// MergeBills notes bills of other zones, so that their requests are not billed
// here again. A request that both zones have billed stays billed in the zone
// whose name sorts first; here its tokens become free again if this zone
// sorts last. Bills of this zone, unreadable ones and those of requests that
// are no longer recognised are passed over.
func (l *Ledger) MergeBills(bills []*wire.Bill) error {
	if err := l.enter(); err != nil {
		return err
	}
	now := l.now()
	l.expire(now, len(bills))
	foreign, cancel := &wire.SettleRequest{}, &wire.SettleRequest{}
	for _, b := range bills {
		if !storable(b) || b.Zone == l.cfg.Zone || b.Zone == "" {
			continue
		}
		e := l.rival(b, now)
		switch {
		case e == nil && b.Time > 0 && now-b.Time >= int64(identityTime):
			// A repeated merge would renew the identity without end.
		case e == nil:
			b = trim(b)
			_ = l.applyBill(recordForeign, now, foreign, b)
			foreign.Bills = append(foreign.Bills, b)
		case e.digest != string(b.Digest):
			l.cfg.Logger.Warn("Zones billed different requests under one identity.", zap.String("account", b.Account),
				zap.String("request", b.Request), zap.String("zone", b.Zone))
		case e.zone.Value() == l.cfg.Zone && b.Zone < l.cfg.Zone && !e.account.broken:
			reversed := trim(b)
			reversed = &wire.Bill{
				Account: b.Account, Request: b.Request, Digest: b.Digest, Model: b.Model, Prompt: b.Prompt,
				Output: b.Output, Amount: b.Amount, Reserved: e.amount, Time: b.Time, Answer: reversed.Answer,
				Media: b.Media, Status: b.Status, Zone: b.Zone, Target: b.Target, Keyed: b.Keyed,
			}
			if l.applyBill(recordCancel, now, cancel, reversed) == nil {
				cancel.Bills = append(cancel.Bills, reversed)
			}
		}
	}
	return l.storeBoth(now, foreign, cancel)
}

// rival returns the entry of the request that a bill of another zone is for,
// or nil. Bills that are further apart than identities are recognised are for
// different requests.
func (l *Ledger) rival(b *wire.Bill, now int64) *entry {
	if e := l.find(b.Account, b.Request, now); e != nil {
		return e
	}
	e := l.retained(b.Account, b.Request)
	if e == nil || max(b.Time-e.recorded, e.recorded-b.Time) >= int64(identityTime) {
		return nil
	}
	return e
}

// storeBoth stores the two records of Merge with one sync. An identity is
// in one of them only.
func (l *Ledger) storeBoth(now int64, foreign, cancel *wire.SettleRequest) error {
	var records [][]byte
	for k, batch := range map[kind]*wire.SettleRequest{recordForeign: foreign, recordCancel: cancel} {
		if len(batch.Bills) == 0 {
			continue
		}
		record, err := encode(k, now, batch)
		if err != nil {
			l.failed = err
			l.mu.Unlock()
			return err
		}
		records = append(records, record)
	}
	_, err := l.store(records...)
	return err
}

// BeginEpoch starts a new epoch after a restore from a copy. All unbilled rights
// are stranded, since the lost epoch may have spent them after the tail of
// the copy; its allowances are void. The holder then calls Merge, Align and
// Keep in this order, and Free when it has the proof. The present epoch has
// no effect.
func (l *Ledger) BeginEpoch(epoch uint64) error {
	if err := l.enter(); err != nil {
		return err
	}
	if epoch < l.epoch {
		defer l.mu.Unlock()
		return eris.Wrapf(fault.Fenced, "epoch %d, books are in epoch %d", epoch, l.epoch)
	}
	if epoch == l.epoch {
		_, err := l.store()
		return err
	}
	return l.commit(recordBegin, &wire.Epoch{Zone: l.cfg.Zone, Epoch: epoch})
}

// SettleRetained bills records of an earlier epoch that entry instances have kept. They
// are paid out of the stranded rights. Known ones are passed over, and so are
// those that a zone whose name sorts before this one has billed. The error
// wraps fault.Exhausted if a bill exceeds the stranded rights; the others are
// billed.
func (l *Ledger) SettleRetained(epoch uint64, bills []*wire.Bill) error {
	if err := l.enter(); err != nil {
		return err
	}
	if epoch > l.epoch {
		defer l.mu.Unlock()
		return eris.Wrapf(fault.Malformed, "records of epoch %d, books are in epoch %d", epoch, l.epoch)
	}
	now := l.now()
	l.expire(now, len(bills))
	batch := &wire.SettleRequest{Epoch: epoch}
	var refused error
	for _, b := range bills {
		due, err := l.due(b, epoch, now)
		if err != nil {
			refused = err
		}
		if !due || err != nil {
			continue
		}
		b = trim(b)
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

// due reports whether a kept bill must be billed, or why it can't be.
func (l *Ledger) due(b *wire.Bill, epoch uint64, now int64) (bool, error) {
	if !storable(b) {
		return false, eris.Wrap(fault.Malformed, "kept bill is incomplete")
	}
	e := l.find(b.Account, b.Request, now)
	if e != nil && (e.zone.Value() <= l.cfg.Zone || e.digest != string(b.Digest)) {
		return false, nil
	}
	a, err := l.usable(b.Account)
	if err != nil {
		return false, err
	}
	if epoch == l.epoch {
		return false, eris.Wrapf(fault.Malformed, "request %s: no bill in the present epoch", b.Request)
	}
	if b.Amount > a.stranded {
		return false, eris.Wrapf(fault.Exhausted, "account %s: bill of %d tokens, %d stranded", b.Account, b.Amount, a.stranded)
	}
	return true, nil
}

// FreeStranded makes the stranded rights of an account free. The caller has the proof
// that no bill of an earlier epoch is outstanding.
func (l *Ledger) FreeStranded(account string) error {
	if err := check(account); err != nil {
		return err
	}
	if err := l.enter(); err != nil {
		return err
	}
	a, err := l.usable(account)
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
