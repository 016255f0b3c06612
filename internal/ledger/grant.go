package ledger

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// Grant adds tokens that the replicated log has assigned to the zone. Repeating
// a sequence of the account has no effect. Sequences restart in each epoch and
// may be reordered by up to 16. The error wraps fault.Conflict between
// BeginEpoch and Align.
func (l *Ledger) Grant(account string, sequence uint64, amount int64) error {
	if err := checkStorable(account, amount); err != nil {
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
	if a.grants.has(sequence) {
		_, err := l.store()
		return err
	}
	if a.recovering && !a.aligned {
		l.mu.Unlock()
		return eris.Wrapf(fault.Conflict, "account %s is not aligned", account)
	}
	return l.commit(recordGrant, &wire.Grant{Account: account, Sequence: sequence, Need: amount})
}

// Release takes up to amount tokens from the free tokens, for the replicated
// log to assign elsewhere. Released lists the release until it is confirmed.
// The sequence is 0 if no tokens are free.
func (l *Ledger) Release(account string, amount int64) (sequence uint64, released int64, err error) {
	if err := checkStorable(account, amount); err != nil {
		return 0, 0, err
	}
	if err := l.lock(); err != nil {
		return 0, 0, err
	}
	a, err := l.activeAccount(account)
	if err != nil || a.free == 0 || amount == 0 {
		l.mu.Unlock()
		return 0, 0, err
	}
	r := &wire.Released{Account: account, Zone: l.cfg.Zone, Epoch: l.epoch, Sequence: l.releaseSequence + 1, Amount: min(amount, a.free)}
	if err := l.commit(recordRelease, r); err != nil {
		return 0, 0, err
	}
	return r.Sequence, r.Amount, nil
}

// Released returns the releases that the replicated log may not have applied
// yet, oldest first.
func (l *Ledger) Released() []*wire.Released {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.pending)
}

// Confirm records that the replicated log has applied a release. An unknown
// sequence has no effect.
func (l *Ledger) Confirm(sequence uint64) error {
	if err := l.lock(); err != nil {
		return err
	}
	if !slices.ContainsFunc(l.pending, func(r *wire.Released) bool { return r.Sequence == sequence }) {
		_, err := l.store()
		return err
	}
	return l.commit(recordConfirm, &wire.Released{Sequence: sequence})
}

// Align sets granted minus released tokens to the amount that the replicated
// log had assigned to the zone when the epoch changed. Call it after BeginEpoch
// and MergeBills, before any grant. The difference consists of grants and
// releases of the lost epoch that the restored copy lacks; it is stranded. Only
// the first call in an epoch has an effect.
func (l *Ledger) Align(account string, assigned int64) error {
	if err := checkStorable(account, assigned); err != nil {
		return err
	}
	if err := l.lock(); err != nil {
		return err
	}
	a, err := l.activeAccount(account)
	difference := assigned - (a.granted - a.released)
	switch {
	case err != nil:
	case a.aligned:
		_, err := l.store()
		return err
	case a.granted > 0 && !a.recovering:
		err = eris.Wrapf(fault.Conflict, "account %s is not recovering", account)
	case difference+a.stranded < 0:
		err = eris.Wrapf(fault.Conflict, "account %s: %d tokens assigned, but %d granted and not released", account, assigned, a.granted-a.released)
	}
	if err != nil {
		l.mu.Unlock()
		return err
	}
	return l.commit(recordAlign, &wire.Grant{Account: account, Need: difference})
}
