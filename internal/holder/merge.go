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
	// mergeInterval bounds the delay until bills of other zones are merged.
	mergeInterval = 50 * time.Millisecond
	// maxMergeRecords limits the records merged at once.
	maxMergeRecords = 1024
)

// zoneNamePattern matches zone names that are safe as directory names.
var zoneNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// replica returns the copy of a zone's journal. Without create, it returns nil
// if there is none.
func (h *Holder) replica(zone string, create bool) (*replica, error) {
	if !zoneNamePattern.MatchString(zone) || zone == h.cfg.Zone {
		return nil, eris.Wrapf(fault.Malformed, "zone %q is invalid or this holder's own", zone)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil, eris.Wrap(fault.Draining, "holder is stopping")
	}
	if r := h.replicas[zone]; r != nil {
		return r, nil
	}
	r, err := openReplica(filepath.Join(h.cfg.Path, "copy-"+zone), create, h.cfg)
	if r != nil && err == nil {
		h.replicas[zone] = r
	}
	return r, err
}

// mergeAll merges the bills of the copies into the ledger, which cancels bills
// that another zone has billed too.
func (h *Holder) mergeAll(l *ledger.Ledger) {
	h.mu.Lock()
	replicas := maps.Clone(h.replicas)
	h.mu.Unlock()
	merged := false
	for zone, r := range replicas {
		changed, err := r.merge(zone, l)
		if err != nil && !r.mergeFailed {
			h.cfg.Logger.Warn("failed to merge bills of another zone", zap.String("zone", zone), zap.Error(err))
		}
		r.mergeFailed = err != nil
		merged = merged || changed
	}
	if merged {
		h.progress.wakeCopiers()
		h.alignAll(l)
	}
	h.exchangedNanos.Store(h.exchangedUntil(replicas))
}

// exchangedUntil returns the time, in Unix nanoseconds, up to which all zones
// have the bills of this zone and this zone has merged theirs. It is 0 until
// each zone has been in contact since the start.
func (h *Holder) exchangedUntil(replicas map[string]*replica) int64 {
	if len(h.cfg.Peers) == 0 {
		return h.cfg.Now().UnixNano()
	}
	until := h.progress.sentUntil(h.cfg.Peers)
	if len(replicas) < len(h.cfg.Peers) {
		return 0
	}
	for _, r := range replicas {
		until = min(until, r.mergedUntil())
	}
	return until
}

// merge merges the bills of a copy into the ledger, starting at the merged
// position, and reports whether there were any records.
func (r *replica) merge(zone string, l *ledger.Ledger) (bool, error) {
	found := false
	for {
		snapshot, records, position, next := r.unmerged()
		if len(snapshot) == 0 && len(records) == 0 {
			return found, nil
		}
		bills, latest, err := ledger.ExtractBills(zone, snapshot, records)
		if err != nil {
			return found, err
		}
		if len(bills) > 0 {
			if err := l.MergeBills(bills); err != nil {
				return found, err
			}
		}
		found = true
		r.mu.Lock()
		// A copy of a new epoch is merged from its start.
		if r.merged == position {
			r.merged, r.lastMergedTime = next, max(r.lastMergedTime, latest)
		}
		r.mu.Unlock()
	}
}

// mergedUntil returns the time up to which the bills of the zone are merged.
func (r *replica) mergedUntil() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.merged == r.active().Next() {
		return max(r.lastMergedTime, r.lastComplete)
	}
	return r.lastMergedTime
}

// unmerged returns the snapshot or records after the merged position, that
// position, and the position after them.
func (r *replica) unmerged() (snapshot []byte, records [][]byte, position, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.active()
	if r.state.Epochs[r.state.Front] == 0 {
		return nil, nil, 0, 0
	}
	if r.merged < j.First() {
		snapshot, next = j.Snapshot()
		return snapshot, nil, r.merged, next
	}
	records, err := j.Read(r.merged, maxMergeRecords)
	if err != nil {
		r.logger.Warn("failed to read copy", zap.String("path", r.path), zap.Error(err))
	}
	return nil, records, r.merged, r.merged + uint64(len(records))
}
