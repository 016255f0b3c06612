package journal

import (
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// batch collects records of concurrent callers that share one sync.
type batch struct {
	records [][]byte
	done    chan struct{}
	base    uint64 // position of the first record; set before done is closed
	// err is set before done is closed, or by Recover for a batch that was
	// queued before the failure.
	err error
}

// Append appends the records, waits until they are durable and returns the
// position after the last one. Concurrent callers share one sync. If Append
// fails, the records may or may not be present when the journal is reopened.
func (j *Journal) Append(records [][]byte) (next uint64, err error) {
	return j.Submit(records)()
}

// Submit queues the records, in call order, and returns a function that waits
// until they are durable. The caller must call that function exactly once and
// must not modify the records. Without records, the function waits for all
// records submitted earlier. The records of calls that share a sync become durable, or
// fail, together.
func (j *Journal) Submit(records [][]byte) (wait func() (next uint64, err error)) {
	for _, r := range records {
		if len(r) > maxRecordBytes {
			err := eris.Wrapf(fault.Malformed, "record has %d bytes, want at most %d", len(r), maxRecordBytes)
			return func() (uint64, error) { return 0, err }
		}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.failed; err != nil {
		return func() (uint64, error) { return 0, err }
	}
	b, isLeader := j.pending, false
	switch {
	case b == nil && len(records) > 0:
		b, isLeader = &batch{done: make(chan struct{})}, true
		j.pending = b
	case b == nil && j.syncing == nil:
		next := j.next
		return func() (uint64, error) { return next, nil }
	case b == nil:
		b = j.syncing
	}
	if len(records) > 0 {
		b.records = append(b.records, records...)
	}
	end := uint64(len(b.records))
	return func() (uint64, error) {
		if isLeader {
			j.commit(b)
		}
		<-b.done
		return b.base + end, b.err
	}
}

// commit writes a batch. While it waits for the previous batch, more callers
// can add records to this one.
func (j *Journal) commit(b *batch) {
	j.writeMu.Lock()
	defer j.writeMu.Unlock()
	defer close(b.done)
	j.mu.Lock()
	if j.pending == b {
		j.pending = nil
	}
	j.syncing, b.base = b, j.next
	if b.err == nil {
		b.err = j.failed
	}
	j.mu.Unlock()
	if b.err == nil {
		b.err = j.write(b.records)
	}
	j.mu.Lock()
	j.syncing = nil
	j.mu.Unlock()
}

// write appends the frames of a batch and syncs each. No record can be read before all
// of them are durable: after an error none is, and Recover must drop none that was. The
// caller holds writeMu.
func (j *Journal) write(records [][]byte) error {
	j.mu.Lock()
	file, size, next := j.file, j.size, j.next
	j.mu.Unlock()
	var frames []frame
	for len(records) > 0 {
		n := countForFrame(records)
		data := appendFrame(nil, next, records[:n])
		_, err := j.cfg.Write(file, data)
		if err == nil {
			err = j.cfg.Sync(file)
		}
		if err != nil {
			j.mu.Lock()
			defer j.mu.Unlock()
			return j.fail(eris.Wrap(err, "append"))
		}
		f := frame{offset: size, size: len(data), position: next, count: n}
		frames, size, next = append(frames, f), size+int64(len(data)), f.end()
		records = records[n:]
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.frames, j.size, j.next = append(j.frames, frames...), size, next
	return nil
}

// countForFrame returns how many of the leading records fit into one frame.
func countForFrame(records [][]byte) int {
	size := 0
	for i, r := range records {
		size += recordHeaderSize + len(r)
		if i > 0 && size > maxFrameBytes {
			return i
		}
	}
	return len(records)
}
