package replicator

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// batchBytes bounds the commands of one Append; one entry is always sent.
	batchBytes = 1 << 20
	// tailBytes bounds the commands kept in memory before a snapshot.
	tailBytes = 4 << 20
	// readRecords is the number of records read at once when the log opens.
	readRecords = 1 << 16
)

// entries is the log: the journal and the copy of its records in memory.
// Entry i is the journal record at position i-1. Changes need disk; reads of
// the copy in memory need mu.
type entries struct {
	journal  *journal.Journal
	base     uint64 // index before the first entry in memory
	baseTerm uint64
	list     []*wire.Entry
	image    uint64 // index of the snapshot
	// tail is the number of entries kept in memory before a snapshot, so that
	// a follower slightly behind needs no Install.
	tail uint64
}

func openEntries(j *journal.Journal, tail uint64) (*entries, *wire.Image, error) {
	e := &entries{journal: j, tail: tail}
	var image *wire.Image
	if data, position := j.Snapshot(); position > 0 {
		var err error
		if image, err = decodeImage(data); err != nil {
			return nil, nil, err
		}
		if image.Index != position {
			return nil, nil, eris.Wrapf(fault.Corrupt, "snapshot of index %d at position %d", image.Index, position)
		}
		e.base, e.baseTerm, e.image = image.Index, image.Term, image.Index
	}
	if j.First() != e.base {
		return nil, nil, eris.Wrapf(fault.Corrupt, "journal starts at %d, snapshot ends at %d", j.First(), e.base)
	}
	for position := e.base; position < j.Next(); {
		records, err := j.Read(position, readRecords)
		if err != nil {
			return nil, nil, eris.Wrap(err, "read journal")
		}
		for _, record := range records {
			entry, err := decodeEntry(record, position+1)
			if err != nil {
				return nil, nil, err
			}
			e.list = append(e.list, entry)
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
		return nil, eris.Wrapf(fault.Corrupt, "entry %d has index %d, term %d", index, entry.Index, entry.Term)
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
		return nil, eris.Wrap(fault.Corrupt, "snapshot: no index, term or members")
	}
	return image, nil
}

func (e *entries) last() uint64 { return e.base + uint64(len(e.list)) }

// term returns the term of the entry at index, 0 if it isn't in memory.
func (e *entries) term(index uint64) uint64 {
	switch {
	case index == e.base:
		return e.baseTerm
	case index < e.base || index > e.last():
		return 0
	}
	return e.list[index-e.base-1].Term
}

// from returns entries from index on, up to batchBytes and limit.
func (e *entries) from(index, limit uint64) []*wire.Entry {
	var batch []*wire.Entry
	size := 0
	for i := index; i <= min(limit, e.last()); i++ {
		entry := e.list[i-e.base-1]
		if size += len(entry.Command); size > batchBytes && len(batch) > 0 {
			break
		}
		batch = append(batch, entry)
	}
	return batch
}

// write appends entries to the journal, not yet to memory.
func (e *entries) write(batch []*wire.Entry) error {
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
		return eris.Wrapf(fault.Broken, "journal ends at %d after entry %d", next, want)
	}
	return nil
}

// trim drops the copies in memory that a snapshot covers, but for the tail.
func (e *entries) trim() {
	if e.image <= e.base+e.tail {
		return
	}
	cut := e.image - e.tail
	for size, i := 0, e.image; i > cut; i-- {
		if size += len(e.list[i-e.base-1].Command); size > tailBytes {
			cut = i
		}
	}
	e.baseTerm = e.term(cut)
	e.list = append([]*wire.Entry(nil), e.list[cut-e.base:]...)
	e.base = cut
}

// reset empties the copy in memory after a snapshot was installed.
func (e *entries) reset(image *wire.Image) {
	e.base, e.baseTerm, e.image = image.Index, image.Term, image.Index
	e.list = nil
}
