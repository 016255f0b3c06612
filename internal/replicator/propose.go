package replicator

import (
	"bytes"
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// maxCommandBytes keeps a message with a single entry below the drpc
	// message limit.
	maxCommandBytes = 3 << 20
	// maxQueue bounds the number of proposals waiting for the disk.
	maxQueue = 4096
)

// proposal is an entry waiting to be committed and applied.
type proposal struct {
	entry *wire.Entry
	done  chan outcome // has capacity 1 and receives exactly one outcome
}

type outcome struct {
	index  uint64
	result []byte
	err    error
}

func uncertainError(index uint64) error {
	return eris.Wrapf(fault.Uncertain, "leadership lost before entry %d was committed; it may still be accepted", index)
}

// Propose appends a command and returns its index and the result of Apply.
// The error wraps fault.Isolated if the command was certainly not accepted,
// naming the leader if it is known, fault.Overloaded if too many proposals
// are queued, fault.Malformed if the command is too long, and fault.Uncertain
// if the command may still be accepted.
func (r *Replicator) Propose(ctx context.Context, command []byte) (uint64, []byte, error) {
	if len(command) > maxCommandBytes {
		return 0, nil, eris.Wrapf(fault.Malformed, "command has %d bytes, want at most %d", len(command), maxCommandBytes)
	}
	return r.submit(ctx, nil, &wire.Entry{Command: bytes.Clone(command)})
}

// submit proposes an entry. If ls is not nil, it must be the current
// leadership.
func (r *Replicator) submit(ctx context.Context, ls *leaderState, entry *wire.Entry) (uint64, []byte, error) {
	p := &proposal{entry: entry, done: make(chan outcome, 1)}
	r.mu.Lock()
	err := r.checkAcceptable(ls)
	if err == nil {
		r.queue = append(r.queue, p)
		signal(r.queued)
	}
	r.mu.Unlock()
	if err != nil {
		return 0, nil, err
	}
	select {
	case o := <-p.done:
		return o.index, o.result, o.err
	case <-ctx.Done():
		return 0, nil, r.withdraw(p)
	}
}

// checkAcceptable returns an error if a proposal cannot be accepted now. The
// caller holds mu.
func (r *Replicator) checkAcceptable(ls *leaderState) error {
	switch {
	case r.leading == nil || ls != nil && r.leading != ls:
		return r.notLeaderError()
	case r.leading.transferee != "":
		return eris.Wrapf(fault.Isolated, "leadership is being transferred to %s", instance(r.leading.transferee))
	case len(r.queue) >= maxQueue:
		return eris.Wrap(fault.Overloaded, "too many proposals waiting for the disk")
	}
	return nil
}

// withdraw abandons a proposal and returns an error that says whether it may
// still be accepted.
func (r *Replicator) withdraw(p *proposal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.queue, p); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
		return eris.Wrap(fault.Isolated, "deadline exceeded before the entry was written")
	}
	return eris.Wrap(fault.Uncertain, "deadline exceeded before the entry was committed; it may still be accepted")
}

// writeLoop writes queued proposals on the leader, batching all that are
// waiting.
func (r *Replicator) writeLoop(ctx context.Context) {
	for {
		select {
		case <-r.queued:
			r.writeQueued()
		case <-ctx.Done():
			return
		}
	}
}

func (r *Replicator) writeQueued() {
	r.lockDisk()
	defer r.unlockDisk()
	r.mu.Lock()
	ls, batch := r.leading, r.queue
	r.queue = nil
	list := make([]*wire.Entry, len(batch))
	for i, p := range batch {
		p.entry.Index, p.entry.Term = r.log.last()+1+uint64(i), ls.term
		list[i] = p.entry
		// Registered before the write, because a fast majority may commit the
		// entry as soon as it is in memory.
		r.waiting[p.entry.Index] = p
	}
	r.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	if err := r.appendEntries(list); err != nil {
		_ = r.fail(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leading == ls {
		r.replicateFrom(list[0].Index)
	}
}

// replicateFrom replicates written entries from index on. The caller holds
// mu.
func (r *Replicator) replicateFrom(index uint64) {
	if r.leading.firstIndex == 0 {
		r.leading.firstIndex = index
	}
	r.reconcilePeers()
	r.advanceCommit()
	r.wakePeers()
	r.notify()
}
