package replicator

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// snapshotBytes of commands lead to a snapshot before SnapshotEvery entries
// do, since the entries between snapshots are kept in memory.
const snapshotBytes = 16 << 20

// apply hands committed entries and installed snapshots to the state, and
// takes snapshots.
func (r *Replicator) apply(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		image := r.restore
		r.restore = nil
		var batch []*wire.Entry
		if image == nil && r.applied < r.commit {
			batch = r.log.from(r.applied+1, r.commit)
		}
		r.mu.Unlock()
		switch {
		case image != nil:
			if !r.restoreImage(image) {
				return
			}
		case len(batch) > 0:
			r.applyEntries(batch)
			r.compact()
		default:
			select {
			case <-r.committed:
			case <-ctx.Done():
			}
		}
	}
}

func (r *Replicator) restoreImage(image *wire.Image) bool {
	if err := r.cfg.Restore(image.Data); err != nil {
		_ = r.fail(eris.Wrapf(fault.Corrupt, "restore: %v", err))
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = image.Index
	r.notify()
	return true
}

func (r *Replicator) applyEntries(batch []*wire.Entry) {
	for _, entry := range batch {
		var result []byte
		if len(entry.Members) == 0 {
			result = r.cfg.Apply(entry.Index, entry.Command)
		}
		r.mu.Lock()
		r.applied = entry.Index
		r.grown += len(entry.Command)
		if p := r.waiting[entry.Index]; p != nil {
			p.done <- outcome{index: entry.Index, result: result}
			delete(r.waiting, entry.Index)
		}
		r.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notify()
}

// compact replaces the applied entries by a snapshot when enough have
// gathered. It runs in the goroutine of Apply, so that the state is that of
// the applied index.
func (r *Replicator) compact() {
	r.mu.Lock()
	image := &wire.Image{Index: r.applied, Term: r.log.term(r.applied), Members: r.membersAt(r.applied)}
	due := r.failed == nil && r.restore == nil && r.applied > r.log.image &&
		(r.applied >= r.log.image+r.cfg.SnapshotEvery || r.grown >= snapshotBytes)
	r.mu.Unlock()
	if !due {
		return
	}
	image.Data = r.cfg.Snapshot()
	data, err := proto.Marshal(image)
	if err != nil {
		r.cfg.Logger.Error("Snapshot can't be encoded.", zap.Error(err))
		return
	}
	r.disk.Lock()
	defer r.disk.Unlock()
	r.mu.Lock()
	// A snapshot of the leader may have replaced the log in the meantime.
	void := r.failed != nil || r.log.image >= image.Index
	r.mu.Unlock()
	if void {
		return
	}
	if err := r.log.journal.Compact(data, image.Index); err != nil {
		_ = r.fail(eris.Wrapf(fault.Corrupt, "journal: %v", err))
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grown = 0
	r.log.image = image.Index
	r.log.trim()
	r.condense(image.Index)
}
