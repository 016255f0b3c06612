package controller

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// firstEpoch is the highest epoch that a zone may use without having begun
// it by a command.
const firstEpoch = 1

// ledger is what the log knows of the ledger of a zone.
type ledger struct {
	epoch    uint64
	instance string // instance and number of the command that began the epoch
	sequence uint64
	epochs   map[uint64]*receipts
}

// receipts are the results of the grants and releases of one epoch, by
// sequence. Those up to a floor were confirmed and dropped.
type receipts struct {
	grants       map[uint64]receipt
	releases     map[uint64]receipt
	grantFloor   uint64
	releaseFloor uint64
}

type receipt struct {
	account    string
	amount     int64
	unassigned int64
}

// ledger returns the ledger of a zone if the epoch is its current one. A zone
// that is not known yet starts with the given epoch.
func (s *state) ledger(zone string, epoch uint64) (*ledger, error) {
	l := s.ledgers[zone]
	if l == nil && epoch <= firstEpoch {
		return newLedger(epoch), nil
	}
	if l == nil || l.epoch != epoch {
		return nil, eris.Wrapf(fault.Fenced, "epoch %d of zone %s", epoch, zone)
	}
	return l, nil
}

func newLedger(epoch uint64) *ledger {
	return &ledger{epoch: epoch, epochs: map[uint64]*receipts{}}
}

// known returns the receipts of an epoch for reading.
func (l *ledger) known(epoch uint64) receipts {
	if r := l.epochs[epoch]; r != nil {
		return *r
	}
	return receipts{}
}

// receipts returns the receipts of an epoch for writing.
func (l *ledger) receipts(epoch uint64) *receipts {
	r := l.epochs[epoch]
	if r == nil {
		r = &receipts{grants: map[uint64]receipt{}, releases: map[uint64]receipt{}}
		l.epochs[epoch] = r
	}
	return r
}

// confirm drops the receipts up to the given sequences.
func (r *receipts) confirm(grants, releases uint64) {
	if grants > r.grantFloor {
		r.grantFloor = grants
		maps.DeleteFunc(r.grants, func(n uint64, _ receipt) bool { return n <= grants })
	}
	if releases > r.releaseFloor {
		r.releaseFloor = releases
		maps.DeleteFunc(r.releases, func(n uint64, _ receipt) bool { return n <= releases })
	}
}

// epoch replaces the epoch of a zone. From then on the log accepts nothing
// from the replaced one; the result tells what the zone has been granted.
func (s *state) epoch(m *wire.Epoch) (proto.Message, error) {
	if m.Zone == "" || m.Instance == "" {
		return nil, eris.Wrap(fault.Malformed, "epoch without a zone or an instance")
	}
	if s.phase == Closed {
		return nil, eris.Wrap(fault.Closed, "the venture is closed")
	}
	l := s.ledgers[m.Zone]
	if l == nil {
		l = newLedger(min(m.Epoch, firstEpoch))
	}
	isResent := l.epoch == m.Epoch+1 && l.instance == m.Instance && l.sequence == m.Sequence
	if !isResent {
		if l.epoch != m.Epoch {
			return nil, eris.Wrapf(fault.Conflict, "epoch %d of zone %s was begun by %s", l.epoch, m.Zone, l.instance)
		}
		if r := l.epochs[l.epoch]; r != nil {
			clear(r.grants) // fenced from now on, so never asked for again
		}
		l.epoch, l.instance, l.sequence = m.Epoch+1, m.Instance, m.Sequence
		s.ledgers[m.Zone] = l
	}
	result := &wire.EpochResult{Epoch: l.epoch}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		if have := s.pools[name].share(m.Zone); have != nil {
			result.Pools = append(result.Pools, s.pools[name].message(name))
		}
	}
	return result, nil
}
