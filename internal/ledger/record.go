package ledger

import (
	"encoding/binary"
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// kind is the first byte of a record and determines its message type. The
// values are part of the storage format.
type kind byte

const (
	recordGrant   kind = iota + 1 // wire.Grant, amount in need
	recordRelease                 // wire.Released
	recordConfirm                 // wire.Released, sequence only
	recordDraw                    // wire.ReturnRequest, amount drawn
	recordReturn                  // wire.ReturnRequest
	recordSettle                  // wire.SettleRequest, accepted bills
	recordFence                   // wire.Holding
	recordForeign                 // wire.SettleRequest, bills of other zones
	recordCancel                  // wire.SettleRequest, bills of other zones that replace own ones; reserved is the amount of the own bill
	recordBegin                   // wire.Epoch
	recordAlign                   // wire.Grant, difference in need
	recordKeep                    // wire.SettleRequest, accepted bills
	recordFree                    // wire.Grant, account only

	// Kinds used only in snapshots, except for recordStop.
	stateTally      // wire.Tally
	stateGrant      // wire.Grant, one sequence of the window
	stateHeld       // wire.ReturnRequest, an allowance
	stateReturn     // wire.ReturnRequest, one sequence of the window
	stateReleased   // wire.Released
	stateBill       // wire.SettleRequest, one bill
	recordStop      // wire.Grant, account only
	stateRecovering // wire.Grant, sequence is 1 if aligned, need is 1 if recovering
)

// recordHeader is the size of the kind and of the time in Unix nanoseconds.
const recordHeader = 1 + 8

var kindNames = [...]string{
	"none", "grant", "release", "confirm", "draw", "return", "settle", "fence", "foreign", "cancel", "begin", "align",
	"keep", "free", "state tally", "state grant", "state held", "state return", "state released", "state bill", "stop", "state recovering",
}

func (k kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", byte(k))
}

func encode(k kind, now int64, m proto.Message) ([]byte, error) {
	return appendRecord(make([]byte, 0, recordHeader+proto.Size(m)), k, now, m)
}

// appendRecord requires that proto.Size was called for the message.
func appendRecord(out []byte, k kind, now int64, m proto.Message) ([]byte, error) {
	out = binary.LittleEndian.AppendUint64(append(out, byte(k)), uint64(now))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(out, m)
	return out, eris.Wrapf(err, "encode %s", k)
}

func decode(record []byte) (kind, int64, proto.Message, error) {
	if len(record) < recordHeader {
		return 0, 0, nil, eris.Wrapf(fault.Corrupt, "record of %d bytes is shorter than its header", len(record))
	}
	k := kind(record[0])
	m := k.message()
	if m == nil {
		return 0, 0, nil, eris.Wrapf(fault.Corrupt, "record of unknown kind %d", record[0])
	}
	if err := proto.Unmarshal(record[recordHeader:], m); err != nil {
		return 0, 0, nil, eris.Wrapf(fault.Corrupt, "%s record: %v", k, err)
	}
	return k, int64(binary.LittleEndian.Uint64(record[1:])), m, nil
}

// message returns an empty message of the kind, or nil.
func (k kind) message() proto.Message {
	switch k {
	case recordGrant, recordAlign, recordFree, stateGrant, recordStop, stateRecovering:
		return &wire.Grant{}
	case recordRelease, recordConfirm, stateReleased:
		return &wire.Released{}
	case recordDraw, recordReturn, stateHeld, stateReturn:
		return &wire.ReturnRequest{}
	case recordSettle, recordForeign, recordCancel, recordKeep, stateBill:
		return &wire.SettleRequest{}
	case recordFence:
		return &wire.Holding{}
	case recordBegin:
		return &wire.Epoch{}
	case stateTally:
		return &wire.Tally{}
	}
	return nil
}

// apply makes the change of a record in memory, for both calls and replays. It
// returns an error if the change would have violated an invariant and stopped
// the account.
func (l *Ledger) apply(k kind, now int64, m proto.Message) error {
	l.lastTime = max(l.lastTime, now)
	switch m := m.(type) {
	case *wire.Grant:
		return l.applyGrant(k, m)
	case *wire.Released:
		return l.applyReleased(k, m)
	case *wire.ReturnRequest:
		return l.applyAllowance(k, m)
	case *wire.SettleRequest:
		return l.applyBills(k, now, m)
	case *wire.Holding:
		return l.applyFence(m.Instance, m.Incarnation)
	case *wire.Epoch:
		return l.applyBegin(m)
	case *wire.Tally:
		return l.applyTally(m)
	}
	return nil
}

func (l *Ledger) applyGrant(k kind, m *wire.Grant) error {
	a := l.account(m.Account)
	switch k {
	case recordGrant:
		a.grants.add(m.Sequence)
		return l.post(a, balances{granted: m.Need, free: m.Need}, k)
	case recordAlign:
		a.recovering, a.aligned = true, true
		if m.Need < 0 {
			return l.post(a, balances{released: -m.Need, stranded: m.Need}, k)
		}
		return l.post(a, balances{granted: m.Need, stranded: m.Need}, k)
	case recordFree:
		a.recovering = false
		return l.post(a, balances{free: a.stranded, stranded: -a.stranded}, k)
	case stateGrant:
		a.grants.add(m.Sequence)
	case recordStop:
		l.markStopped(a)
	case stateRecovering:
		a.recovering, a.aligned = m.Need == 1, m.Sequence == 1
	}
	return nil
}

func (l *Ledger) applyReleased(k kind, m *wire.Released) error {
	if k == recordConfirm {
		l.pending = withoutRelease(l.pending, m.Sequence)
		return nil
	}
	l.releaseSequence = max(l.releaseSequence, m.Sequence)
	l.pending = append(l.pending, m)
	if k == stateReleased {
		return nil
	}
	return l.post(l.account(m.Account), balances{free: -m.Amount, released: m.Amount}, k)
}

func (l *Ledger) applyAllowance(k kind, m *wire.ReturnRequest) error {
	a := l.account(m.Account)
	al := l.ensureAllowance(m.Holding.GetInstance(), m.Holding.GetIncarnation(), m.Account)
	change := m.Amount
	switch k {
	case stateHeld:
		al.amount = m.Amount
		return nil
	case stateReturn:
		al.returns.add(m.Sequence)
		return nil
	case recordReturn:
		al.returns.add(m.Sequence)
		change = -m.Amount
	}
	transfer := balances{free: -change, allowances: change}
	if al.amount+change < 0 {
		return l.stopAccount(a, transfer, k)
	}
	if err := l.post(a, transfer, k); err != nil {
		return err
	}
	al.amount += change
	return nil
}

// applyBills applies all bills of a batch and returns the first error.
func (l *Ledger) applyBills(k kind, now int64, m *wire.SettleRequest) (first error) {
	for _, b := range m.Bills {
		if err := l.applyBill(k, now, m, b); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (l *Ledger) applyBill(k kind, now int64, m *wire.SettleRequest, b *wire.Bill) error {
	a := l.account(b.Account)
	var err error
	zone := l.cfg.Zone
	switch k {
	case recordSettle:
		err = l.charge(a, m.Holding, b.Amount, k)
	case recordKeep:
		err = l.post(a, balances{stranded: -b.Amount, billed: b.Amount, requests: 1}, k)
	case recordCancel:
		zone = b.Zone
		change := balances{billed: -b.Reserved, free: b.Reserved, requests: -1}
		if a.recovering {
			change.free, change.stranded = 0, b.Reserved
		}
		err = l.post(a, change, k)
	default:
		zone = b.Zone
	}
	if err == nil {
		l.addIdentity(a, b, zone, now)
	}
	return err
}

// charge moves tokens from an allowance to the billed balance.
func (l *Ledger) charge(a *account, h *wire.Holding, amount int64, k kind) error {
	al := l.allowance(h.GetInstance(), h.GetIncarnation(), a.name)
	transfer := balances{allowances: -amount, billed: amount, requests: 1}
	if amount == 0 {
		return l.post(a, transfer, k)
	}
	if al == nil || al.amount < amount {
		return l.stopAccount(a, transfer, k)
	}
	if err := l.post(a, transfer, k); err != nil {
		return err
	}
	al.amount -= amount
	return nil
}

func withoutRelease(pending []*wire.Released, sequence uint64) []*wire.Released {
	for i, r := range pending {
		if r.Sequence == sequence {
			return append(pending[:i:i], pending[i+1:]...)
		}
	}
	return pending
}
