package replicator

import (
	"context"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// maxBytesBeforeSnapshot is the amount of command bytes that triggers a
// snapshot before SnapshotEvery entries do. It bounds memory, because entries
// between snapshots are kept there.
const maxBytesBeforeSnapshot = 16 << 20

// applyLoop applies committed entries and installed snapshots to the state
// machine, and takes snapshots.
func (r *Replicator) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		image := r.pendingRestore
		r.pendingRestore = nil
		var batch []*wire.Entry
		if image == nil && r.applied < r.commit {
			batch = r.log.from(r.applied+1, r.commit)
		}
		r.mu.Unlock()
		switch {
		case image != nil:
			if !r.restoreSnapshot(image) {
				return
			}
		case len(batch) > 0:
			r.applyEntries(batch)
			r.maybeSnapshot()
		default:
			select {
			case <-r.committed:
			case <-ctx.Done():
			}
		}
	}
}

func (r *Replicator) restoreSnapshot(image *wire.Image) bool {
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
		r.bytesSinceSnapshot += len(entry.Command)
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

// maybeSnapshot compacts the log into a snapshot if one is due. It runs in
// the goroutine that calls Apply, so the state matches the applied index.
func (r *Replicator) maybeSnapshot() {
	r.mu.Lock()
	image := &wire.Image{Index: r.applied, Term: r.log.term(r.applied), Members: r.membersAt(r.applied)}
	due := r.failed == nil && r.pendingRestore == nil && r.applied > r.log.snapshotIndex &&
		(r.applied >= r.log.snapshotIndex+r.cfg.SnapshotEvery || r.bytesSinceSnapshot >= maxBytesBeforeSnapshot)
	r.mu.Unlock()
	if !due {
		return
	}
	image.Data = r.cfg.Snapshot()
	data, err := proto.Marshal(image)
	if err != nil {
		r.cfg.Logger.Error("failed to encode snapshot", zap.Error(err))
		return
	}
	r.lockDisk()
	defer r.unlockDisk()
	r.mu.Lock()
	// A snapshot from the leader may have replaced the log in the meantime.
	superseded := r.failed != nil || r.log.snapshotIndex >= image.Index
	r.mu.Unlock()
	if superseded {
		return
	}
	if err := r.log.journal.Compact(data, image.Index); err != nil {
		_ = r.fail(storageError{eris.Wrapf(fault.Corrupt, "journal: %v", err)})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishCompaction(image.Index)
}

// finishCompaction drops what the snapshot up to index covers from memory. The
// caller holds mu.
func (r *Replicator) finishCompaction(index uint64) {
	r.bytesSinceSnapshot = 0
	r.log.snapshotIndex = index
	r.log.trim()
	r.compactMemberships(index)
}
