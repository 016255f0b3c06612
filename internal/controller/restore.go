package controller

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// restore decodes a snapshot. An empty snapshot is the state before the first
// command.
func restore(snapshot []byte, logger *zap.Logger) (*state, error) {
	s := newState(logger)
	if len(snapshot) == 0 {
		return s, nil
	}
	rest, ok := bytes.CutPrefix(snapshot, []byte(snapshotHeader))
	if !ok || len(rest) < sha256.Size {
		return nil, eris.Wrap(fault.Corrupt, "controller snapshot: invalid header or length")
	}
	end := len(snapshot) - sha256.Size
	if sum := sha256.Sum256(snapshot[:end]); !bytes.Equal(sum[:], snapshot[end:]) {
		return nil, eris.Wrap(fault.Corrupt, "controller snapshot: checksum mismatch")
	}
	if err := s.decode(rest[:len(rest)-sha256.Size]); err != nil {
		return nil, err
	}
	return s, nil
}

// decode adds the records of a snapshot to the state.
func (s *state) decode(records []byte) error {
	for number := 0; len(records) > 0; number++ {
		record, n := protowire.ConsumeBytes(records)
		var m wire.State
		if n < 0 || proto.Unmarshal(record, &m) != nil || !s.load(&m) {
			return eris.Wrapf(fault.Corrupt, "controller snapshot: invalid record %d", number)
		}
		records = records[n:]
	}
	for id, c := range s.claims {
		s.expiryQueue = append(s.expiryQueue, expiryEntry{time: c.Time, requestKey: id})
	}
	for id, o := range s.orders {
		s.expiryQueue = append(s.expiryQueue, expiryEntry{time: o.Time, isOrder: true, requestKey: id})
	}
	slices.SortFunc(s.expiryQueue, func(x, y expiryEntry) int { return cmp.Compare(x.time, y.time) })
	if (s.phase == Closed) != (s.statement != nil) || s.phase != Open && s.current == nil {
		return eris.Wrap(fault.Corrupt, "controller snapshot: phase doesn't match the content")
	}
	return nil
}

// load adds one record to the state and reports whether it is valid.
func (s *state) load(m *wire.State) bool {
	switch part := m.Part.(type) {
	case *wire.State_Base:
		return s.loadBase(part.Base)
	case *wire.State_Accepted:
		last := len(s.accepted) - 1
		s.accepted = append(s.accepted, part.Accepted)
		return last < 0 || s.accepted[last].Version < part.Accepted.Version
	case *wire.State_Pool:
		return s.loadPool(part.Pool)
	case *wire.State_Topup:
		s.topups[part.Topup.Name] = part.Topup
		return true
	case *wire.State_Zone:
		return s.loadZone(part.Zone)
	case *wire.State_Grant:
		r := s.loadReceipts(part.Grant)
		if r != nil {
			r.grants[part.Grant.Sequence] = receiptFromProto(part.Grant)
		}
		return r != nil
	case *wire.State_Release:
		r := s.loadReceipts(part.Release)
		if r != nil {
			r.releases[part.Release.Sequence] = receiptFromProto(part.Release)
		}
		return r != nil
	case *wire.State_Claim:
		c := part.Claim
		s.claims[requestKey{c.GetClaim().GetAccount(), c.GetClaim().GetRequest()}] = c
		return c.Claim != nil
	case *wire.State_Order:
		o := part.Order
		s.orders[requestKey{o.GetOrder().GetTarget(), o.GetOrder().GetRequest()}] = o
		return o.Order != nil
	case *wire.State_Fence:
		s.fences[part.Fence.Target] = part.Fence.Fence
		return true
	case *wire.State_Statement:
		s.statement = part.Statement
		return true
	}
	return false
}

func (s *state) loadBase(m *wire.Base) bool {
	s.index, s.time, s.phase, s.zones = m.Index, m.Time, m.Phase, m.Zones
	if len(m.Document) > 0 {
		current, err := configuration.Parse(m.Document)
		if err != nil {
			return false
		}
		s.current = current
	}
	return m.Phase == Open || m.Phase == Dissolving || m.Phase == Closed
}

// loadPool adds a pool and reports whether it is valid. An inconsistent pool is
// valid only if it is marked as stopped.
func (s *state) loadPool(m *wire.PoolState) bool {
	if len(m.Zones) != len(m.Amounts) {
		return false
	}
	p := &pool{prepaid: m.Prepaid, topups: m.Topups, unassigned: m.Unassigned, refunded: m.Refunded, stopped: m.Stopped}
	p.shares = make([]share, len(m.Zones))
	for i, zone := range m.Zones {
		if i > 0 && m.Zones[i-1] >= zone {
			return false
		}
		p.shares[i] = share{s.intern(zone), m.Amounts[i]}
	}
	s.pools[m.Account] = p
	return p.stopped || p.isConsistent()
}

// intern returns the shared copy of a zone name, if there is one.
func (s *state) intern(zone string) string {
	if i, ok := slices.BinarySearch(s.zones, zone); ok {
		return s.zones[i]
	}
	return zone
}

func (s *state) loadZone(m *wire.Zone) bool {
	l := newLedger(m.Epoch)
	l.instance, l.sequence = m.Instance, m.Sequence
	for _, f := range m.Floors {
		r := l.receipts(f.Epoch)
		r.grantFloor, r.releaseFloor = f.Grants, f.Releases
	}
	s.ledgers[m.Zone] = l
	return true
}

// loadReceipts returns the receipts for the zone and epoch of m, or nil if the
// zone is unknown.
func (s *state) loadReceipts(m *wire.Receipt) *receipts {
	l := s.ledgers[m.Zone]
	if l == nil {
		return nil
	}
	return l.receipts(m.Epoch)
}

func receiptFromProto(m *wire.Receipt) receipt {
	return receipt{account: m.Account, amount: m.Amount, unassigned: m.Unassigned}
}
