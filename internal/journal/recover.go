package journal

import (
	"errors"
	"os"

	"github.com/papayapond/papayapond/internal/fault"
)

// Err returns why the journal refuses changes, or nil.
func (j *Journal) Err() error { return j.failure() }

// Recover makes the journal accept changes again after a failed write or sync.
// It writes the durable records to new files, because pages of a file whose sync
// failed may be lost although a later sync succeeds, and drops the records whose
// append failed. It fails if the disk has no room for reserve more bytes, so that
// a journal on a nearly full disk doesn't fail again at once.
//
// The error wraps fault.Draining if the journal is closed and fault.Corrupt if
// storage still fails. The journal then stays as it was.
func (j *Journal) Recover(reserve int) error {
	j.writeMu.Lock()
	defer j.writeMu.Unlock()
	if err := j.failure(); errors.Is(err, fault.Draining) {
		return err
	}
	j.dropPending()
	if err := j.rewriteDurable(reserve); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failed = nil
	return nil
}

// dropPending fails the batch that was queued before the failure. Its records may
// depend on records that were not written.
func (j *Journal) dropPending() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.pending != nil && j.failed != nil {
		j.pending.err = j.failed
		j.pending = nil
	}
}

// rewriteDurable writes the snapshot and the durable records to new files. The
// caller holds writeMu.
func (j *Journal) rewriteDurable(reserve int) error {
	data, position := j.Snapshot()
	if data != nil {
		if err := j.replaceSnapshot(data, position, j.generation); err != nil {
			return err
		}
	}
	if j.logGeneration < j.generation {
		// Completes a Reset that failed after it had replaced the snapshot.
		return j.rewriteWithReserve(position, nil, reserve)
	}
	records, err := j.readAll(position, j.Next())
	if err != nil {
		return err
	}
	return j.rewriteWithReserve(position, records, reserve)
}

// checkReserve extends the file by reserve bytes and truncates it to size again.
func (j *Journal) checkReserve(file *os.File, size, reserve int) error {
	if reserve == 0 {
		return nil
	}
	_, err := j.cfg.Write(file, make([]byte, reserve))
	if err == nil {
		err = j.cfg.Sync(file)
	}
	if err == nil {
		err = file.Truncate(int64(size))
	}
	return err
}
