package ledger

import (
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// drawShare is the largest part of the free rights, as a divisor, that one
// draw takes beyond its need.
const drawShare = 8

// Draw issues an allowance and returns its amount, which is at least need.
// It is want if that is at most one eighth of the free rights beyond the
// reserve. The error wraps fault.Exhausted if less than need is free beyond the
// reserve, and fault.Fenced if the incarnation is fenced.
//
// Held is all that the incarnation may bill to the account after the draw,
// also with fault.Exhausted. An instance that missed the reply of an earlier
// draw learns from it what it holds.
func (l *Ledger) Draw(h *wire.Holding, account string, need, want, reserve int64) (amount, held int64, err error) {
	if err := check(account, need, want, reserve); err != nil {
		return 0, 0, err
	}
	if h.GetInstance() == "" || !valid(h.GetInstance()) {
		return 0, 0, eris.Wrapf(fault.Malformed, "instance %q", h.GetInstance())
	}
	if err := l.enter(); err != nil {
		return 0, 0, err
	}
	a, err := l.usable(account)
	if err == nil && l.fenced(h.GetInstance(), h.GetIncarnation()) {
		err = eris.Wrapf(fault.Fenced, "instance %s, incarnation %d", h.GetInstance(), h.GetIncarnation())
	}
	if err != nil {
		l.mu.Unlock()
		return 0, 0, err
	}
	if al := l.holding(h.GetInstance(), h.GetIncarnation(), account); al != nil {
		held = al.amount
	}
	need = max(need, 1)
	free := a.free - reserve
	if free < need {
		refused := eris.Wrapf(fault.Exhausted, "account %s: %d tokens free, %d reserved, %d needed", account, a.free, reserve, need)
		// What the caller is told that it holds must be durable.
		if _, err := l.store(); err != nil {
			return 0, 0, err
		}
		return 0, held, refused
	}
	amount = max(need, min(want, free/drawShare))
	err = l.commit(recordDraw, &wire.ReturnRequest{Holding: h, Account: account, Epoch: l.epoch, Amount: amount})
	if err != nil {
		return 0, 0, err
	}
	return amount, held + amount, nil
}

// Return gives back a part of an allowance. A repeated sequence of the
// incarnation and account has no effect. The error wraps fault.Fenced for a
// fenced incarnation or an old epoch, whose rights have been taken already.
func (l *Ledger) Return(h *wire.Holding, account string, epoch uint64, amount int64, sequence uint64) error {
	if err := check(account, amount); err != nil {
		return err
	}
	if err := l.enter(); err != nil {
		return err
	}
	_, err := l.usable(account)
	if err == nil && (epoch != l.epoch || l.fenced(h.GetInstance(), h.GetIncarnation())) {
		err = eris.Wrapf(fault.Fenced, "instance %s, incarnation %d, epoch %d", h.GetInstance(), h.GetIncarnation(), epoch)
	}
	al := l.holding(h.GetInstance(), h.GetIncarnation(), account)
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

// Fence frees what the incarnations of the instance up to the given one have
// not billed and refuses their later bills.
func (l *Ledger) Fence(instance string, incarnation uint64) error {
	if !valid(instance) {
		return eris.Wrapf(fault.Malformed, "instance %q", instance)
	}
	if err := l.enter(); err != nil {
		return err
	}
	if l.fenced(instance, incarnation) {
		_, err := l.store()
		return err
	}
	return l.commit(recordFence, &wire.Holding{Instance: instance, Incarnation: incarnation})
}

// applyFence returns no error for a stopped account, since the fence must
// hold for the others.
func (l *Ledger) applyFence(name string, incarnation uint64) error {
	i := l.instance(name)
	i.fenced = max(i.fenced, incarnation)
	for n, held := range i.incarnations {
		if n > i.fenced {
			continue
		}
		for account, al := range held {
			_ = l.post(l.account(account), books{free: al.amount, allowances: -al.amount}, recordFence)
		}
		delete(i.incarnations, n)
	}
	return nil
}

// applyBegin strands all unbilled rights and forgets the allowances. It also
// forgets the unconfirmed releases, since the log refuses those of an old
// epoch; Align accounts for the ones that it has applied.
func (l *Ledger) applyBegin(m *wire.Epoch) error {
	l.epoch = m.Epoch
	if m.Zone == "" {
		// The state at the start of a snapshot.
		l.sequence = m.Sequence
		return nil
	}
	l.pending = nil
	for _, i := range l.instances {
		clear(i.incarnations)
	}
	for _, a := range l.accounts {
		a.grants, a.recovering, a.aligned = nil, true, false
		_ = l.post(a, books{free: -a.free, allowances: -a.allowances, stranded: a.free + a.allowances}, recordBegin)
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
