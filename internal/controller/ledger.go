package controller

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// maxImplicitEpoch is the highest epoch that a zone may use without starting it
// by a command.
const maxImplicitEpoch = 1

// ledger is the replicated part of a zone's ledger.
type ledger struct {
	epoch    uint64
	instance string // instance and sequence of the command that started the epoch
	sequence uint64
	epochs   map[uint64]*receipts
}

// receipts holds the results of the grants and releases of one epoch, by
// sequence. Receipts up to a floor have been confirmed and dropped.
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

// ledger returns the ledger of a zone if epoch is its current epoch. The ledger
// of a new zone starts with the given epoch.
func (s *state) ledger(zone string, epoch uint64) (*ledger, error) {
	l := s.ledgers[zone]
	if l == nil && epoch <= maxImplicitEpoch {
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

// findReceipts returns the receipts of an epoch, or empty ones if there are
// none. They must not be modified.
func (l *ledger) findReceipts(epoch uint64) receipts {
	if r := l.epochs[epoch]; r != nil {
		return *r
	}
	return receipts{}
}

// receipts returns the receipts of an epoch and adds them if necessary.
func (l *ledger) receipts(epoch uint64) *receipts {
	r := l.epochs[epoch]
	if r == nil {
		r = &receipts{grants: map[uint64]receipt{}, releases: map[uint64]receipt{}}
		l.epochs[epoch] = r
	}
	return r
}

// confirm drops the receipts up to and including the given sequences.
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

// epoch starts the next epoch of a zone. Grants and new releases of the
// replaced epoch are rejected from then on. The result holds the pools from
// which the zone has been granted tokens.
func (s *state) epoch(m *wire.Epoch) (proto.Message, error) {
	if m.Zone == "" || m.Instance == "" {
		return nil, eris.Wrap(fault.Malformed, "epoch requires a zone and an instance")
	}
	if s.phase == Closed {
		return nil, eris.Wrap(fault.Closed, "the venture is closed")
	}
	l := s.ledgers[m.Zone]
	if l == nil {
		l = newLedger(min(m.Epoch, maxImplicitEpoch))
	}
	isResent := l.epoch == m.Epoch+1 && l.instance == m.Instance && l.sequence == m.Sequence
	if !isResent {
		if l.epoch != m.Epoch {
			return nil, eris.Wrapf(fault.Conflict, "epoch %d of zone %s was started by instance %s", l.epoch, m.Zone, l.instance)
		}
		if r := l.epochs[l.epoch]; r != nil {
			clear(r.grants) // fenced from now on, so never read again
		}
		l.epoch, l.instance, l.sequence = m.Epoch+1, m.Instance, m.Sequence
		s.ledgers[m.Zone] = l
	}
	result := &wire.EpochResult{Epoch: l.epoch}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		if have := s.pools[name].share(m.Zone); have != nil {
			result.Pools = append(result.Pools, s.pools[name].toProto(name))
		}
	}
	return result, nil
}
