package ledger

import (
	"slices"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// Grant adds tokens that the log has assigned to the zone. A repeated
// sequence of the account has no effect. Sequences start anew in each epoch
// and may overtake each other by up to 16. The error wraps fault.Conflict
// between Begin and Align.
func (l *Ledger) Grant(account string, sequence uint64, amount int64) error {
	if err := check(account, amount); err != nil {
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

// Release takes at most the amount out of the free rights, for the log to
// assign elsewhere. The release is listed by Released until it is confirmed.
// Without free rights the sequence is 0.
func (l *Ledger) Release(account string, amount int64) (sequence uint64, released int64, err error) {
	if err := check(account, amount); err != nil {
		return 0, 0, err
	}
	if err := l.enter(); err != nil {
		return 0, 0, err
	}
	a, err := l.usable(account)
	if err != nil || a.free == 0 || amount == 0 {
		l.mu.Unlock()
		return 0, 0, err
	}
	r := &wire.Released{Account: account, Zone: l.cfg.Zone, Epoch: l.epoch, Sequence: l.sequence + 1, Amount: min(amount, a.free)}
	if err := l.commit(recordRelease, r); err != nil {
		return 0, 0, err
	}
	return r.Sequence, r.Amount, nil
}

// Released returns the releases that the log may not have applied yet, oldest
// first.
func (l *Ledger) Released() []*wire.Released {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.pending)
}

// Confirm notes that the log has applied a release. An unknown sequence has
// no effect.
func (l *Ledger) Confirm(sequence uint64) error {
	if err := l.enter(); err != nil {
		return err
	}
	if !slices.ContainsFunc(l.pending, func(r *wire.Released) bool { return r.Sequence == sequence }) {
		_, err := l.store()
		return err
	}
	return l.commit(recordConfirm, &wire.Released{Sequence: sequence})
}

// Align sets the tokens granted and not released to the amount that the log
// has assigned to the zone at the change of the epoch, after Begin and Merge
// and before any grant. The difference are grants and releases of the lost
// epoch after the tail of the copy; it is stranded. Only the first call in an
// epoch has an effect.
func (l *Ledger) Align(account string, assigned int64) error {
	if err := check(account, assigned); err != nil {
		return err
	}
	if err := l.enter(); err != nil {
		return err
	}
	a, err := l.usable(account)
	difference := assigned - (a.granted - a.released)
	switch {
	case err != nil:
	case a.aligned:
		_, err := l.store()
		return err
	case a.granted > 0 && !a.recovering:
		err = eris.Wrapf(fault.Conflict, "account %s is not recovering", account)
	case difference+a.stranded < 0:
		err = eris.Wrapf(fault.Conflict, "account %s: %d tokens assigned, %d granted", account, assigned, a.granted-a.released)
	}
	if err != nil {
		l.mu.Unlock()
		return err
	}
	return l.commit(recordAlign, &wire.Grant{Account: account, Need: difference})
}
