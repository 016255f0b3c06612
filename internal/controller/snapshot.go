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

// snapshotHeader starts a snapshot. It is followed by length-prefixed wire.State
// records and the SHA-256 checksum of everything before it.
const snapshotHeader = "papayapond controller 1\n"

// snapshotWriter encodes the records of a snapshot.
type snapshotWriter struct {
	buf []byte
}

func (w *snapshotWriter) write(m *wire.State) {
	options := proto.MarshalOptions{Deterministic: true}
	w.buf = protowire.AppendVarint(w.buf, uint64(options.Size(m)))
	b, err := options.MarshalAppend(w.buf, m)
	if err != nil {
		panic("controller: " + err.Error()) // see encode
	}
	w.buf = b
}

// snapshot encodes the state. The entries of maps are sorted by key.
func (s *state) snapshot() []byte {
	w := &snapshotWriter{buf: []byte(snapshotHeader)}
	base := &wire.Base{Index: s.index, Time: s.time, Phase: s.phase, Zones: s.zones}
	if s.current != nil {
		base.Document = s.current.Text()
	}
	w.write(&wire.State{Part: &wire.State_Base{Base: base}})
	for _, a := range s.accepted {
		w.write(&wire.State{Part: &wire.State_Accepted{Accepted: a}})
	}
	var m wire.PoolState // reused, since most records are pools
	record := &wire.State{Part: &wire.State_Pool{Pool: &m}}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		s.pools[name].fillRecord(name, &m)
		w.write(record)
	}
	for _, name := range slices.Sorted(maps.Keys(s.topups)) {
		w.write(&wire.State{Part: &wire.State_Topup{Topup: s.topups[name]}})
	}
	for _, zone := range slices.Sorted(maps.Keys(s.ledgers)) {
		s.ledgers[zone].writeTo(w, zone)
	}
	for _, id := range slices.SortedFunc(maps.Keys(s.claims), compareRequestKeys) {
		w.write(&wire.State{Part: &wire.State_Claim{Claim: s.claims[id]}})
	}
	for _, id := range slices.SortedFunc(maps.Keys(s.orders), compareRequestKeys) {
		w.write(&wire.State{Part: &wire.State_Order{Order: s.orders[id]}})
	}
	for _, target := range slices.Sorted(maps.Keys(s.fences)) {
		w.write(&wire.State{Part: &wire.State_Fence{Fence: &wire.Fence{Target: target, Fence: s.fences[target]}}})
	}
	if s.statement != nil {
		w.write(&wire.State{Part: &wire.State_Statement{Statement: s.statement}})
	}
	sum := sha256.Sum256(w.buf)
	return append(w.buf, sum[:]...)
}

// fillRecord sets m to the snapshot record of the pool.
func (p *pool) fillRecord(account string, m *wire.PoolState) {
	m.Account, m.Prepaid, m.Topups, m.Unassigned = account, p.prepaid, p.topups, p.unassigned
	m.Refunded, m.Stopped = p.refunded, p.stopped
	m.Zones, m.Amounts = m.Zones[:0], m.Amounts[:0]
	for _, s := range p.shares {
		m.Zones = append(m.Zones, s.zone)
		m.Amounts = append(m.Amounts, s.amount)
	}
}

func (l *ledger) writeTo(w *snapshotWriter, zone string) {
	z := &wire.Zone{Zone: zone, Epoch: l.epoch, Instance: l.instance, Sequence: l.sequence}
	epochs := slices.Sorted(maps.Keys(l.epochs))
	for _, n := range epochs {
		z.Floors = append(z.Floors, &wire.Floor{Epoch: n, Grants: l.epochs[n].grantFloor, Releases: l.epochs[n].releaseFloor})
	}
	w.write(&wire.State{Part: &wire.State_Zone{Zone: z}})
	for _, n := range epochs {
		r := l.epochs[n]
		for _, sequence := range slices.Sorted(maps.Keys(r.grants)) {
			w.write(&wire.State{Part: &wire.State_Grant{Grant: r.grants[sequence].toProto(zone, n, sequence)}})
		}
		for _, sequence := range slices.Sorted(maps.Keys(r.releases)) {
			w.write(&wire.State{Part: &wire.State_Release{Release: r.releases[sequence].toProto(zone, n, sequence)}})
		}
	}
}

func (r receipt) toProto(zone string, epoch, sequence uint64) *wire.Receipt {
	return &wire.Receipt{Zone: zone, Epoch: epoch, Sequence: sequence, Account: r.account, Amount: r.amount, Unassigned: r.unassigned}
}

func compareRequestKeys(x, y requestKey) int {
	return cmp.Or(cmp.Compare(x.owner, y.owner), cmp.Compare(x.request, y.request))
}
