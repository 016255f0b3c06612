package journal

import (
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// batch collects the records of concurrent callers for one sync.
type batch struct {
	records [][]byte
	done    chan struct{}
	base    uint64 // set before done is closed
	err     error
}

// Append adds the records and returns the position after the last of them
// when they are durable. Concurrent callers share one sync. After an error
// the records may or may not be found when the journal is opened again.
func (j *Journal) Append(records [][]byte) (next uint64, err error) {
	return j.Submit(records)()
}

// Submit queues the records in the order of the calls and returns a function
// that waits until they are durable; it must be called, once. Without records
// it waits for all records submitted before. The records must not be changed
// any more.
func (j *Journal) Submit(records [][]byte) (wait func() (next uint64, err error)) {
	for _, r := range records {
		if len(r) > recordBytes {
			err := eris.Wrapf(fault.Malformed, "record of %d bytes, at most %d", len(r), recordBytes)
			return func() (uint64, error) { return 0, err }
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.failed; err != nil {
		return func() (uint64, error) { return 0, err }
	}
	b, leads := j.pending, false
	switch {
	case b == nil && len(records) > 0:
		b, leads = &batch{done: make(chan struct{})}, true
		j.pending = b
	case b == nil && j.flying == nil:
		next := j.next
		return func() (uint64, error) { return next, nil }
	case b == nil:
		b = j.flying
	}
	if len(records) > 0 {
		b.records = append(b.records, records...)
	}
	end := uint64(len(b.records))
	return func() (uint64, error) {
		if leads {
			j.commit(b)
		}
		<-b.done
		return b.base + end, b.err
	}
}

// commit writes a batch. While it waits for the batch before, more callers
// add their records to this one.
func (j *Journal) commit(b *batch) {
	j.writing.Lock()
	defer j.writing.Unlock()
	defer close(b.done)
	j.mu.Lock()
	j.pending, j.flying = nil, b
	b.base, b.err = j.next, j.failed
	j.mu.Unlock()
	for rest := b.records; len(rest) > 0 && b.err == nil; {
		n := chunk(rest)
		b.err = j.write(rest[:n])
		rest = rest[n:]
	}
	j.mu.Lock()
	j.flying = nil
	j.mu.Unlock()
}

// write appends one frame and syncs it. The caller holds writing.
func (j *Journal) write(records [][]byte) error {
	j.mu.Lock()
	file, position := j.file, j.next
	j.mu.Unlock()
	data := appendFrame(nil, position, records)
	_, err := j.cfg.Write(file, data)
	if err == nil {
		err = j.cfg.Sync(file)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		return j.fail(eris.Wrap(err, "append"))
	}
	f := frame{offset: j.size, size: len(data), position: position, count: len(records)}
	j.frames = append(j.frames, f)
	j.size += int64(len(data))
	j.next = f.end()
	return nil
}

// chunk returns how many of the records go into one frame.
func chunk(records [][]byte) int {
	size := 0
	for i, r := range records {
		size += sizeBytes + len(r)
		if i > 0 && size > frameBytes {
			return i
		}
	}
	return len(records)
}
