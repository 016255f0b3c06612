package controller

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

// header starts a snapshot. Records of wire.State follow, each after its
// length, and the SHA-256 of all before it.
const header = "papayapond controller 1\n"

// writer appends records to a snapshot.
type writer struct {
	b []byte
}

func (w *writer) write(m *wire.State) {
	options := proto.MarshalOptions{Deterministic: true}
	w.b = protowire.AppendVarint(w.b, uint64(options.Size(m)))
	b, err := options.MarshalAppend(w.b, m)
	if err != nil {
		panic("controller: " + err.Error()) // see encode
	}
	w.b = b
}

// snapshot encodes the state, sorted where it is kept in maps.
func (s *state) snapshot() []byte {
	w := &writer{b: []byte(header)}
	base := &wire.Base{Index: s.index, Time: s.time, Phase: s.phase, Zones: s.zones}
	if s.current != nil {
		base.Document = s.current.Text()
	}
	w.write(&wire.State{Part: &wire.State_Base{Base: base}})
	for _, a := range s.accepted {
		w.write(&wire.State{Part: &wire.State_Accepted{Accepted: a}})
	}
	var m wire.PoolState // reused, since the pools are most of the records
	record := &wire.State{Part: &wire.State_Pool{Pool: &m}}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		s.pools[name].record(name, &m)
		w.write(record)
	}
	for _, name := range slices.Sorted(maps.Keys(s.topups)) {
		w.write(&wire.State{Part: &wire.State_Topup{Topup: s.topups[name]}})
	}
	for _, zone := range slices.Sorted(maps.Keys(s.ledgers)) {
		s.ledgers[zone].write(w, zone)
	}
	for _, id := range slices.SortedFunc(maps.Keys(s.claims), compareIdentity) {
		w.write(&wire.State{Part: &wire.State_Claim{Claim: s.claims[id]}})
	}
	for _, id := range slices.SortedFunc(maps.Keys(s.orders), compareIdentity) {
		w.write(&wire.State{Part: &wire.State_Order{Order: s.orders[id]}})
	}
	for _, target := range slices.Sorted(maps.Keys(s.fences)) {
		w.write(&wire.State{Part: &wire.State_Fence{Fence: &wire.Fence{Target: target, Fence: s.fences[target]}}})
	}
	if s.statement != nil {
		w.write(&wire.State{Part: &wire.State_Statement{Statement: s.statement}})
	}
	sum := sha256.Sum256(w.b)
	return append(w.b, sum[:]...)
}

// record fills the record of a pool.
func (p *pool) record(account string, m *wire.PoolState) {
	m.Account, m.Prepaid, m.Topups, m.Unassigned = account, p.prepaid, p.topups, p.unassigned
	m.Refunded, m.Stopped = p.refunded, p.stopped
	m.Zones, m.Amounts = m.Zones[:0], m.Amounts[:0]
	for _, s := range p.shares {
		m.Zones = append(m.Zones, s.zone)
		m.Amounts = append(m.Amounts, s.amount)
	}
}

func (l *ledger) write(w *writer, zone string) {
	z := &wire.Zone{Zone: zone, Epoch: l.epoch, Instance: l.instance, Sequence: l.sequence}
	epochs := slices.Sorted(maps.Keys(l.epochs))
	for _, n := range epochs {
		z.Floors = append(z.Floors, &wire.Floor{Epoch: n, Grants: l.epochs[n].grantFloor, Releases: l.epochs[n].releaseFloor})
	}
	w.write(&wire.State{Part: &wire.State_Zone{Zone: z}})
	for _, n := range epochs {
		r := l.epochs[n]
		for _, sequence := range slices.Sorted(maps.Keys(r.grants)) {
			w.write(&wire.State{Part: &wire.State_Grant{Grant: r.grants[sequence].message(zone, n, sequence)}})
		}
		for _, sequence := range slices.Sorted(maps.Keys(r.releases)) {
			w.write(&wire.State{Part: &wire.State_Release{Release: r.releases[sequence].message(zone, n, sequence)}})
		}
	}
}

func (r receipt) message(zone string, epoch, sequence uint64) *wire.Receipt {
	return &wire.Receipt{Zone: zone, Epoch: epoch, Sequence: sequence, Account: r.account, Amount: r.amount, Unassigned: r.unassigned}
}

func compareIdentity(x, y identity) int {
	return cmp.Or(cmp.Compare(x.owner, y.owner), cmp.Compare(x.request, y.request))
}
