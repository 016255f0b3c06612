package coordinator

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// memberTimeout is the silence after which an entry instance is no longer
// listed. It is long, so that a partition or a restart doesn't change which
// instances lend.
const memberTimeout = 30 * time.Second

// fleet lists the entry instances that a leader has heard of.
type fleet struct {
	since   time.Time // begin of the term
	members map[string]member
	digest  uint64 // of the list; 0 if it has changed
	list    []*wire.Member
}

// member is one entry instance, by its address.
type member struct {
	zone string
	at   time.Time
}

// add notes that an instance has called.
func (f *fleet) add(address, zone string, now time.Time) {
	if address == "" {
		return
	}
	if f.members == nil {
		f.members = map[string]member{}
	}
	if f.members[address].zone != zone {
		f.digest = 0
	}
	f.members[address] = member{zone, now}
}

// remove notes that an instance has stopped.
func (f *fleet) remove(address string) {
	delete(f.members, address)
	f.digest = 0
}

// told returns the digest of the list, and the list if the caller holds another
// one. A new leader says nothing until all instances in touch have called.
func (f *fleet) told(held uint64, now time.Time) (digest uint64, list []*wire.Member) {
	if now.Sub(f.since) < entryTimeout {
		return 0, nil
	}
	f.refresh(now)
	if f.digest == held {
		return f.digest, nil
	}
	return f.digest, f.list
}

// refresh makes the list anew if it has changed.
func (f *fleet) refresh(now time.Time) {
	for address, m := range f.members {
		if now.Sub(m.at) > memberTimeout {
			f.remove(address)
		}
	}
	if f.digest != 0 {
		return
	}
	f.list = nil
	h := fnv.New64a()
	for _, address := range slices.Sorted(maps.Keys(f.members)) {
		zone := f.members[address].zone
		f.list = append(f.list, &wire.Member{Address: address, Zone: zone})
		_, _ = h.Write([]byte(address + "\n" + zone + "\n")) // a hash doesn't fail
	}
	f.digest = h.Sum64()
}
