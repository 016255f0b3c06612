package ledger

import (
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// drawDivisor limits what one draw takes beyond its need: the free tokens
// divided by it.
const drawDivisor = 8

// Draw issues an allowance and returns its amount, which is at least need. It
// grants want only if that is at most one eighth of the free tokens above the
// reserve. The error wraps fault.Exhausted if less than need is free above the
// reserve, and fault.Fenced if the incarnation is fenced.
//
// Held is the total that the incarnation may bill to the account after the
// draw. It is also set with fault.Exhausted, so that an instance that lost the
// reply to an earlier draw learns its allowance.
func (l *Ledger) Draw(h *wire.Holding, account string, need, want, reserve int64) (amount, held int64, err error) {
	if err := checkStorable(account, need, want, reserve); err != nil {
		return 0, 0, err
	}
	if h.GetInstance() == "" || !validUTF8(h.GetInstance()) {
		return 0, 0, eris.Wrapf(fault.Malformed, "instance %q: want a non-empty UTF-8 name", h.GetInstance())
	}
	if err := l.lock(); err != nil {
		return 0, 0, err
	}
	a, err := l.activeAccount(account)
	if err == nil && l.fenced(h.GetInstance(), h.GetIncarnation()) {
		err = eris.Wrapf(fault.Fenced, "instance %s, incarnation %d", h.GetInstance(), h.GetIncarnation())
	}
	if err != nil {
		l.mu.Unlock()
		return 0, 0, err
	}
	if al := l.allowance(h.GetInstance(), h.GetIncarnation(), account); al != nil {
		held = al.amount
	}
	need = max(need, 1)
	free := a.free - reserve
	if free < need {
		refused := eris.Wrapf(fault.Exhausted, "account %s: %d tokens free, %d reserved, %d needed", account, a.free, reserve, need)
		// The held amount that the caller is told must be durable.
		if _, err := l.store(); err != nil {
			return 0, 0, err
		}
		return 0, held, refused
	}
	amount = max(need, min(want, free/drawDivisor))
	err = l.commit(recordDraw, &wire.ReturnRequest{Holding: h, Account: account, Epoch: l.epoch, Amount: amount})
	if err != nil {
		return 0, 0, err
	}
	return amount, held + amount, nil
}

// Return gives back part of an allowance. Repeating a sequence of the
// incarnation and account has no effect. The error wraps fault.Fenced for a
// fenced incarnation or an old epoch, whose tokens have already been taken
// back.
func (l *Ledger) Return(h *wire.Holding, account string, epoch uint64, amount int64, sequence uint64) error {
	if err := checkStorable(account, amount); err != nil {
		return err
	}
	if err := l.lock(); err != nil {
		return err
	}
	_, err := l.activeAccount(account)
	if err == nil && (epoch != l.epoch || l.fenced(h.GetInstance(), h.GetIncarnation())) {
		err = eris.Wrapf(fault.Fenced, "instance %s, incarnation %d, epoch %d", h.GetInstance(), h.GetIncarnation(), epoch)
	}
	al := l.allowance(h.GetInstance(), h.GetIncarnation(), account)
	if err == nil && al != nil && al.returns.has(sequence) {
		_, err := l.store()
		return err
	}
	if err == nil && (al == nil || al.amount < amount) {
		err = eris.Wrapf(fault.Malformed, "account %s: return of %d tokens exceeds the allowance", account, amount)
	}
	if err != nil {
		l.mu.Unlock()
		return err
	}
	return l.commit(recordReturn, &wire.ReturnRequest{Holding: h, Account: account, Epoch: epoch, Amount: amount, Sequence: sequence})
}

// Fence frees the unbilled tokens of all incarnations of the instance up to the
// given one and refuses their later bills.
func (l *Ledger) Fence(instance string, incarnation uint64) error {
	if !validUTF8(instance) {
		return eris.Wrapf(fault.Malformed, "instance %q", instance)
	}
	if err := l.lock(); err != nil {
		return err
	}
	if l.fenced(instance, incarnation) {
		_, err := l.store()
		return err
	}
	return l.commit(recordFence, &wire.Holding{Instance: instance, Incarnation: incarnation})
}

// applyFence ignores stopped accounts, since the fence must hold for the other
// accounts.
func (l *Ledger) applyFence(name string, incarnation uint64) error {
	i := l.instance(name)
	i.fenced = max(i.fenced, incarnation)
	for n, held := range i.incarnations {
		if n > i.fenced {
			continue
		}
		for account, al := range held {
			_ = l.post(l.account(account), balances{free: al.amount, allowances: -al.amount}, recordFence)
		}
		delete(i.incarnations, n)
	}
	return nil
}

// applyBegin strands all unbilled tokens and drops the allowances. It also
// drops the unconfirmed releases, since the replicated log rejects those of an
// old epoch; Align accounts for the releases that the log has applied.
func (l *Ledger) applyBegin(m *wire.Epoch) error {
	l.epoch = m.Epoch
	if m.Zone == "" {
		// This record is the header of a snapshot.
		l.releaseSequence = m.Sequence
		return nil
	}
	l.pending = nil
	for _, i := range l.instances {
		clear(i.incarnations)
	}
	for _, a := range l.accounts {
		a.grants, a.recovering, a.aligned = nil, true, false
		_ = l.post(a, balances{free: -a.free, allowances: -a.allowances, stranded: a.free + a.allowances}, recordBegin)
	}
	return nil
}

// Holdings returns the latest incarnation of each instance that holds unspent
// tokens of this ledger.
func (l *Ledger) Holdings() []*wire.Holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*wire.Holding
	for name, i := range l.instances {
		var last uint64
		for n, held := range i.incarnations {
			for _, al := range held {
				if al.amount > 0 {
					last = max(last, n)
				}
			}
		}
		if last > 0 {
			list = append(list, &wire.Holding{Instance: name, Incarnation: last})
		}
	}
	return list
}
