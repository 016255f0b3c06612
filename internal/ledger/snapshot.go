package ledger

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// compact replaces the journal with a snapshot if it has outgrown its limit.
// One caller runs it; the others wait only while it encodes the state.
func (l *Ledger) compact() {
	size := l.cfg.Journal.Size()
	if size < l.compactAt.Load() || !l.compacting.TryLock() {
		return
	}
	defer l.compacting.Unlock()
	l.mu.Lock()
	if l.failure != nil {
		// The state may be ahead of the journal.
		l.mu.Unlock()
		return
	}
	snapshot, err := l.encodeState()
	wait := l.cfg.Journal.Submit(nil)
	// The limit grows with the snapshot, so that the cost of compactions stays
	// proportional to the records written between them.
	l.compactAt.Store(max(l.cfg.CompactBytes, 2*int64(len(snapshot))))
	l.mu.Unlock()
	position, waitErr := wait()
	if err == nil {
		err = waitErr
	}
	if err == nil {
		err = l.cfg.Journal.Compact(snapshot, position)
	}
	if err != nil {
		l.cfg.Logger.Error("compaction failed", zap.Error(err))
		l.compactAt.Store(size + l.cfg.CompactBytes)
	}
}

// encodeState returns the state as a sequence of records, each preceded by its
// length.
func (l *Ledger) encodeState() ([]byte, error) {
	var first error
	out := make([]byte, 0, l.snapshotSize+l.snapshotSize/8)
	defer func() { l.snapshotSize = len(out) }()
	put := func(k kind, now int64, m proto.Message) {
		out = binary.AppendUvarint(out, uint64(recordHeader+proto.Size(m)))
		var err error
		if out, err = appendRecord(out, k, now, m); err != nil && first == nil {
			first = err
		}
	}
	put(recordBegin, l.lastTime, &wire.Epoch{Epoch: l.epoch, Sequence: l.releaseSequence})
	for _, a := range l.accounts {
		put(stateTally, 0, l.tally(a))
		for _, s := range a.grants {
			put(stateGrant, 0, &wire.Grant{Account: a.name, Sequence: s})
		}
	}
	for name, i := range l.instances {
		if i.fenced > 0 {
			put(recordFence, 0, &wire.Holding{Instance: name, Incarnation: i.fenced})
		}
		for n, held := range i.incarnations {
			for account, al := range held {
				r := &wire.ReturnRequest{Holding: &wire.Holding{Instance: name, Incarnation: n}, Account: account, Amount: al.amount}
				put(stateHeld, 0, r)
				for _, s := range al.returns {
					r.Sequence = s
					put(stateReturn, 0, r)
				}
			}
		}
	}
	for _, r := range l.pending {
		put(stateReleased, 0, r)
	}
	for _, e := range l.identities {
		if e.request != "" {
			put(stateBill, e.recorded, &wire.SettleRequest{Bills: []*wire.Bill{e.bill()}})
		}
	}
	for _, a := range l.accounts {
		if a.stopped {
			put(recordStop, 0, &wire.Grant{Account: a.name})
		}
		if a.recovering || a.aligned {
			put(stateRecovering, 0, &wire.Grant{Account: a.name, Sequence: uint64(boolToInt(a.aligned)), Need: boolToInt(a.recovering)})
		}
	}
	return out, first
}

// restore is the inverse of encodeState.
func (l *Ledger) restore(snapshot []byte) error {
	return forEachRecord(snapshot, l.replay)
}

// applyTally sets the balances of an account. The later state records of the
// snapshot don't change them.
func (l *Ledger) applyTally(m *wire.Tally) error {
	a := l.account(m.Account)
	return l.post(a, balances{
		granted: m.Granted, free: m.Free, allowances: m.Allowances, billed: m.Billed,
		released: m.Released, stranded: m.Stranded, requests: int64(m.Requests),
	}, stateTally)
}

// forEachRecord calls f for each record of a snapshot.
func forEachRecord(snapshot []byte, f func(record []byte) error) error {
	for len(snapshot) > 0 {
		size, n := binary.Uvarint(snapshot)
		if n <= 0 || size > uint64(len(snapshot)-n) {
			return eris.Wrap(fault.Corrupt, "snapshot is truncated within a record")
		}
		if err := f(snapshot[n : n+int(size)]); err != nil {
			return err
		}
		snapshot = snapshot[n+int(size):]
	}
	return nil
}

func boolToInt(set bool) int64 {
	if set {
		return 1
	}
	return 0
}
