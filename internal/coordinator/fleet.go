package coordinator

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// memberTimeout is the silence after which an entry instance is dropped from
// the member list. It is long, so that a partition or a restart doesn't change
// which instances lend.
const memberTimeout = 30 * time.Second

// listTime is the least time between two versions of the member list, for each
// member: each instance gets each version as a whole.
const listTime = 10 * time.Millisecond

// fleet is the member list: the entry instances that have called this leader.
type fleet struct {
	termStart time.Time // start of the term
	members   map[string]member
	outdated  bool
	digest    uint64 // of the list
	list      []*wire.Member
	listed    time.Time // when the list was made
}

// member is one entry instance.
type member struct {
	zone     string
	lastCall time.Time
}

// add records a call of an instance.
func (f *fleet) add(address, zone string, now time.Time) {
	if address == "" {
		return
	}
	if f.members == nil {
		f.members = map[string]member{}
	}
	if f.members[address].zone != zone {
		f.outdated = true
	}
	f.members[address] = member{zone, now}
}

// remove drops an instance that has stopped.
func (f *fleet) remove(address string) {
	delete(f.members, address)
	f.outdated = true
}

// listFor returns the digest of the list, and the list itself unless the
// caller's digest matches. A new leader returns nothing until all instances in
// contact have had time to call.
func (f *fleet) listFor(known uint64, now time.Time) (digest uint64, list []*wire.Member) {
	if now.Sub(f.termStart) < entryTimeout {
		return 0, nil
	}
	f.rebuild(now)
	if f.digest == known {
		return f.digest, nil
	}
	return f.digest, f.list
}

// rebuild drops silent members and rebuilds the list if it has changed.
func (f *fleet) rebuild(now time.Time) {
	for address, m := range f.members {
		if now.Sub(m.lastCall) > memberTimeout {
			f.remove(address)
		}
	}
	if !f.outdated || now.Sub(f.listed) < time.Duration(len(f.list))*listTime {
		return
	}
	f.list, f.listed, f.outdated = nil, now, false
	h := fnv.New64a()
	for _, address := range slices.Sorted(maps.Keys(f.members)) {
		zone := f.members[address].zone
		f.list = append(f.list, &wire.Member{Address: address, Zone: zone})
		_, _ = h.Write([]byte(address + "\n" + zone + "\n")) // never returns an error
	}
	f.digest = h.Sum64()
}
