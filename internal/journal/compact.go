package journal

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// Truncate removes the records at and after the position. The error wraps
// fault.Missing if the position is before First or after Next.
func (j *Journal) Truncate(position uint64) error {
	j.writeMu.Lock()
	defer j.writeMu.Unlock()
	if err := j.checkPosition(position); err != nil {
		return err
	}
	records, err := j.readAll(j.First(), position)
	if err != nil {
		return err
	}
	return j.rewrite(j.First(), records)
}

// Compact stores a snapshot of the state before the position and removes the
// records before it. Appends block until it returns. After a write error, such as
// a full disk, the journal goes on with the old files; if only the log could not
// be written, the new snapshot is in force and the log still holds the records
// before it. After a failed sync or rename the journal refuses all changes.
func (j *Journal) Compact(snapshot []byte, position uint64) error {
	j.writeMu.Lock()
	defer j.writeMu.Unlock()
	if err := j.checkPosition(position); err != nil {
		return err
	}
	if err := j.replaceSnapshot(snapshot, position, j.generation); err != nil {
		return err
	}
	records, err := j.readAll(position, j.Next())
	if err != nil {
		return err
	}
	return j.rewrite(position, records)
}

// Reset removes all records and replaces the snapshot with one of the state
// before the position.
func (j *Journal) Reset(snapshot []byte, position uint64) error {
	j.writeMu.Lock()
	defer j.writeMu.Unlock()
	if err := j.failure(); err != nil {
		return err
	}
	if err := j.replaceSnapshot(snapshot, position, j.generation+1); err != nil {
		return err
	}
	if err := j.rewrite(position, nil); err != nil {
		// The files have different generations, so the old log must not grow.
		j.mu.Lock()
		defer j.mu.Unlock()
		return j.fail(err)
	}
	return nil
}

func (j *Journal) failure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed
}

func (j *Journal) checkPosition(position uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	if position < j.first || position > j.next {
		return eris.Wrapf(fault.Missing, "position %d is out of range, want %d to %d", position, j.first, j.next)
	}
	return nil
}

// readAll returns the records in [from, to). The caller holds writeMu.
func (j *Journal) readAll(from, to uint64) ([][]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out [][]byte
	for _, f := range j.frames {
		if f.end() <= from || f.position >= to {
			continue
		}
		records, err := j.readFrame(f)
		if err != nil {
			return nil, err
		}
		for i, r := range records {
			if p := f.position + uint64(i); p >= from && p < to {
				out = append(out, r)
			}
		}
	}
	return out, nil
}

func (j *Journal) replaceSnapshot(data []byte, position, generation uint64) error {
	if data == nil {
		data = []byte{}
	}
	h := header{generation: generation, position: position}
	file, err := j.replace(snapshotName, encodeFile(snapshotMagic, h, data), 0)
	if err != nil {
		return err
	}
	_ = file.Close()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.snapshot, j.first, j.generation = data, position, generation
	return nil
}

// rewrite replaces the log with one that holds the given records, starting at
// position base. The caller holds writeMu or is Open.
func (j *Journal) rewrite(base uint64, records [][]byte) error {
	return j.rewriteWithReserve(base, records, 0)
}

// rewriteWithReserve is rewrite, and fails if the disk has no room for reserve
// more bytes.
func (j *Journal) rewriteWithReserve(base uint64, records [][]byte, reserve int) error {
	data := encodeFile(logMagic, header{generation: j.generation, position: base}, nil)
	var frames []frame
	next := base
	for len(records) > 0 {
		n := countForFrame(records)
		start := len(data)
		data = appendFrame(data, next, records[:n])
		frames = append(frames, frame{offset: int64(start), size: len(data) - start, position: next, count: n})
		next += uint64(n)
		records = records[n:]
	}
	return j.replaceLog(data, frames, base, next, reserve)
}

func (j *Journal) replaceLog(data []byte, frames []frame, base, next uint64, reserve int) error {
	file, err := j.replace(logName, data, reserve)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.frames, j.size = file, frames, int64(len(data))
	j.base, j.next, j.logGeneration = base, next, j.generation
	return nil
}

// replace atomically replaces a file and returns the new one, open for
// appending. It fails if the disk has no room for reserve more bytes.
func (j *Journal) replace(name string, data []byte, reserve int) (*os.File, error) {
	path := j.path(name + tempSuffix)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "create %s: %v", path, err)
	}
	if _, err := j.cfg.Write(file, data); err != nil {
		_ = file.Close()
		_ = os.Remove(path)
		return nil, eris.Wrapf(fault.Corrupt, "write %s: %v", path, err)
	}
	if err := j.checkReserve(file, len(data), reserve); err != nil {
		_ = file.Close()
		_ = os.Remove(path)
		return nil, eris.Wrapf(fault.Corrupt, "reserve %d bytes in %s: %v", reserve, path, err)
	}
	err = j.cfg.Sync(file)
	if err == nil {
		err = j.cfg.Rename(path, j.path(name))
	}
	if err == nil {
		err = j.syncDir(j.cfg.Path)
	}
	if err != nil {
		_ = file.Close()
		j.mu.Lock()
		defer j.mu.Unlock()
		return nil, j.fail(eris.Wrapf(err, "replace file %s", name))
	}
	return file, nil
}

// syncDir makes the names in a directory durable.
func (j *Journal) syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open directory")
	}
	defer dir.Close()
	return eris.Wrap(j.cfg.Sync(dir), "sync directory")
}
