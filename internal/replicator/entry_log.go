package replicator

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// maxBatchBytes bounds the command bytes of one Append. A single larger
	// entry is still sent.
	maxBatchBytes = 1 << 20
	// maxTailBytes bounds the command bytes kept in memory from before a
	// snapshot.
	maxTailBytes = 4 << 20
	// readBatch is the number of journal records read at once when the log
	// opens.
	readBatch = 1 << 16
)

// entryLog is the log: the journal and an in-memory copy of its records.
// Entry i is the journal record at position i-1. Writers hold diskMu, and
// readers of the in-memory copy hold mu.
type entryLog struct {
	journal       *journal.Journal
	baseIndex     uint64 // index of the last entry before those in memory
	baseTerm      uint64
	entries       []*wire.Entry
	snapshotIndex uint64 // last index covered by the snapshot
	// tail is the number of entries from before the snapshot that stay in
	// memory, so a follower slightly behind needs no Install.
	tail uint64
}

func openEntryLog(j *journal.Journal, tail uint64) (*entryLog, *wire.Image, error) {
	e := &entryLog{journal: j, tail: tail}
	var image *wire.Image
	if data, position := j.Snapshot(); position > 0 {
		var err error
		if image, err = decodeImage(data); err != nil {
			return nil, nil, err
		}
		if image.Index != position {
			return nil, nil, eris.Wrapf(fault.Corrupt, "snapshot has index %d, want journal position %d", image.Index, position)
		}
		e.baseIndex, e.baseTerm, e.snapshotIndex = image.Index, image.Term, image.Index
	}
	if j.First() != e.baseIndex {
		return nil, nil, eris.Wrapf(fault.Corrupt, "journal starts at position %d, want the snapshot index %d", j.First(), e.baseIndex)
	}
	for position := e.baseIndex; position < j.Next(); {
		records, err := j.Read(position, readBatch)
		if err != nil {
			return nil, nil, eris.Wrap(err, "read journal")
		}
		for _, record := range records {
			entry, err := decodeEntry(record, position+1)
			if err != nil {
				return nil, nil, err
			}
			e.entries = append(e.entries, entry)
			position++
		}
	}
	return e, image, nil
}

func decodeEntry(record []byte, index uint64) (*wire.Entry, error) {
	entry := &wire.Entry{}
	if err := proto.Unmarshal(record, entry); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "entry %d: %v", index, err)
	}
	if entry.Index != index || entry.Term == 0 {
		return nil, eris.Wrapf(fault.Corrupt, "entry %d: got index %d and term %d, want the same index and a nonzero term", index, entry.Index, entry.Term)
	}
	if _, err := decodeMembers(entry.Members); err != nil {
		return nil, err
	}
	return entry, nil
}

func decodeImage(data []byte) (*wire.Image, error) {
	image := &wire.Image{}
	if err := proto.Unmarshal(data, image); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "snapshot: %v", err)
	}
	if image.Index == 0 || image.Term == 0 || len(image.Members.GetVoters()) == 0 {
		return nil, eris.Wrap(fault.Corrupt, "snapshot: missing index, term or members")
	}
	return image, nil
}

func (e *entryLog) last() uint64 { return e.baseIndex + uint64(len(e.entries)) }

// term returns the term of the entry at index, or 0 if it is not in memory.
func (e *entryLog) term(index uint64) uint64 {
	switch {
	case index == e.baseIndex:
		return e.baseTerm
	case index < e.baseIndex || index > e.last():
		return 0
	}
	return e.entries[index-e.baseIndex-1].Term
}

// from returns entries starting at index, up to limit and maxBatchBytes.
func (e *entryLog) from(index, limit uint64) []*wire.Entry {
	var batch []*wire.Entry
	size := 0
	for i := index; i <= min(limit, e.last()); i++ {
		entry := e.entries[i-e.baseIndex-1]
		if size += len(entry.Command); size > maxBatchBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, entry)
	}
	return batch
}

// write appends a batch to the journal. It does not touch the in-memory copy.
func (e *entryLog) write(batch []*wire.Entry) error {
	records := make([][]byte, len(batch))
	for i, entry := range batch {
		record, err := proto.Marshal(entry)
		if err != nil {
			return eris.Wrap(err, "encode entry")
		}
		records[i] = record
	}
	next, err := e.journal.Append(records)
	if err != nil {
		return err
	}
	if want := batch[len(batch)-1].Index; next != want {
		return eris.Wrapf(fault.Broken, "journal ends at position %d, want %d", next, want)
	}
	return nil
}

// trim drops entries covered by the snapshot from memory, except for the
// tail.
func (e *entryLog) trim() {
	if e.snapshotIndex <= e.baseIndex+e.tail {
		return
	}
	cut := e.snapshotIndex - e.tail
	for size, i := 0, e.snapshotIndex; i > cut; i-- {
		if size += len(e.entries[i-e.baseIndex-1].Command); size > maxTailBytes {
			cut = i
		}
	}
	e.baseTerm = e.term(cut)
	e.entries = append([]*wire.Entry(nil), e.entries[cut-e.baseIndex:]...)
	e.baseIndex = cut
}

// reset clears the in-memory copy after a snapshot was installed.
func (e *entryLog) reset(image *wire.Image) {
	e.baseIndex, e.baseTerm, e.snapshotIndex = image.Index, image.Term, image.Index
	e.entries = nil
}
