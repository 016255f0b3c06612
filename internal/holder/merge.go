package holder

import (
	"maps"
	"path/filepath"
	"regexp"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ledger"
)

const (
	// mergeInterval bounds the delay until the bills of other zones are known.
	mergeInterval = 50 * time.Millisecond
	// mergeRecords bounds the records that are merged at once.
	mergeRecords = 1024
)

// zoneName matches the names that are safe as the name of a folder.
var zoneName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// replica returns the copy of a zone. Without create, it returns nil if there
// is none.
func (h *Holder) replica(zone string, create bool) (*replica, error) {
	if !zoneName.MatchString(zone) || zone == h.cfg.Zone {
		return nil, eris.Wrapf(fault.Malformed, "copy of zone %q", zone)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil, eris.Wrap(fault.Draining, "holder is stopping")
	}
	if r := h.replicas[zone]; r != nil {
		return r, nil
	}
	r, err := openReplica(filepath.Join(h.cfg.Path, "copy-"+zone), create, h.cfg.Logger)
	if r != nil && err == nil {
		h.replicas[zone] = r
	}
	return r, err
}

// mergeAll passes the bills of the copies to the ledger, which cancels those
// that another zone has billed as well.
func (h *Holder) mergeAll(l *ledger.Ledger) {
	h.mu.Lock()
	replicas := maps.Clone(h.replicas)
	h.mu.Unlock()
	merged := false
	for zone, r := range replicas {
		some, err := r.merge(zone, l)
		if err != nil && !r.stalled {
			h.cfg.Logger.Warn("Bills of another zone are not merged.", zap.String("zone", zone), zap.Error(err))
		}
		r.stalled = err != nil
		merged = merged || some
	}
	if merged {
		h.progress.kick()
		h.align(l)
	}
	h.exchanged.Store(h.exchangedUntil(replicas))
}

// exchangedUntil returns the time, in Unix nanoseconds, until which all zones
// have the bills of this zone and their bills are merged here. It is 0 while
// one of them has not been heard of since the start.
func (h *Holder) exchangedUntil(replicas map[string]*replica) int64 {
	if len(h.cfg.Others) == 0 {
		return h.cfg.Now().UnixNano()
	}
	until := h.progress.sentUntil(h.cfg.Others)
	if len(replicas) < len(h.cfg.Others) {
		return 0
	}
	for _, r := range replicas {
		until = min(until, r.mergedUntil())
	}
	return until
}

// merge passes the bills of one copy to the ledger, from the position on that
// was reached before, and tells whether there were any records.
func (r *replica) merge(zone string, l *ledger.Ledger) (bool, error) {
	some := false
	for {
		snapshot, records, position, next := r.unmerged()
		if len(snapshot) == 0 && len(records) == 0 {
			return some, nil
		}
		bills, latest, err := ledger.ExtractBills(zone, snapshot, records)
		if err != nil {
			return some, err
		}
		if len(bills) > 0 {
			if err := l.MergeBills(bills); err != nil {
				return some, err
			}
		}
		some = true
		r.mu.Lock()
		// A copy of a new epoch is merged from its start.
		if r.merged == position {
			r.merged, r.latest = next, max(r.latest, latest)
		}
		r.mu.Unlock()
	}
}

// mergedUntil returns the time until which the bills of the zone are merged.
func (r *replica) mergedUntil() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.merged == r.front().Next() {
		return max(r.latest, r.contact)
	}
	return r.latest
}

// unmerged returns what comes after the merged position, and the position
// behind it.
func (r *replica) unmerged() (snapshot []byte, records [][]byte, position, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.front()
	if r.state.Epochs[r.state.Front] == 0 {
		return nil, nil, 0, 0
	}
	if r.merged < j.First() {
		snapshot, next = j.Snapshot()
		return snapshot, nil, r.merged, next
	}
	records, err := j.Read(r.merged, mergeRecords)
	if err != nil {
		r.logger.Warn("Copy can't be read.", zap.String("path", r.path), zap.Error(err))
	}
	return nil, records, r.merged, r.merged + uint64(len(records))
}
