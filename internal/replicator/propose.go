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
	// maxCommand keeps a message with one entry below the limit of drpc.
	maxCommand = 3 << 20
	// maxQueue bounds the proposals that wait for the disk.
	maxQueue = 4096
)

// proposal is an entry on its way into the log.
type proposal struct {
	entry *wire.Entry
	done  chan outcome // of capacity 1; receives exactly once
}

type outcome struct {
	index  uint64
	result []byte
	err    error
}

func uncertain(index uint64) error {
	return eris.Wrapf(fault.Uncertain, "leadership was lost before entry %d was committed; it may be accepted", index)
}

// Propose appends a command and returns its index and the result of Apply.
// The error wraps fault.Isolated if the command was certainly not accepted,
// with the name of the leader in the text if there is one, fault.Overloaded
// if too many wait, fault.Malformed if it is too long, and fault.Uncertain
// if it may be accepted.
func (r *Replicator) Propose(ctx context.Context, command []byte) (uint64, []byte, error) {
	if len(command) > maxCommand {
		return 0, nil, eris.Wrapf(fault.Malformed, "command of %d bytes, at most %d", len(command), maxCommand)
	}
	return r.submit(ctx, nil, &wire.Entry{Command: bytes.Clone(command)})
}

// submit proposes an entry, in the given reign if it isn't nil.
func (r *Replicator) submit(ctx context.Context, reign *reign, entry *wire.Entry) (uint64, []byte, error) {
	p := &proposal{entry: entry, done: make(chan outcome, 1)}
	r.mu.Lock()
	err := r.accepts(reign)
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

// accepts tells why a proposal can't be taken. The caller holds mu.
func (r *Replicator) accepts(reign *reign) error {
	switch {
	case r.reign == nil || reign != nil && r.reign != reign:
		return r.isolated()
	case r.reign.heir != "":
		return eris.Wrapf(fault.Isolated, "leadership goes to %s", instance(r.reign.heir))
	case len(r.queue) >= maxQueue:
		return eris.Wrap(fault.Overloaded, "too many proposals wait for the disk")
	}
	return nil
}

// withdraw gives up on a proposal and returns what is known of it.
func (r *Replicator) withdraw(p *proposal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.queue, p); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
		return eris.Wrap(fault.Isolated, "the deadline passed before the entry was written")
	}
	return eris.Wrap(fault.Uncertain, "the deadline passed before the entry was committed; it may be accepted")
}

// write stores the queued proposals of a leader, all that wait in one batch.
func (r *Replicator) write(ctx context.Context) {
	for {
		select {
		case <-r.queued:
			r.writeQueue()
		case <-ctx.Done():
			return
		}
	}
}

func (r *Replicator) writeQueue() {
	r.disk.Lock()
	defer r.disk.Unlock()
	r.mu.Lock()
	reign, batch := r.reign, r.queue
	r.queue, r.writing, r.began = nil, len(batch) > 0, r.cfg.Now()
	list := make([]*wire.Entry, len(batch))
	for i, p := range batch {
		p.entry.Index, p.entry.Term = r.log.last()+1+uint64(i), reign.term
		list[i] = p.entry
		// Before the write: a fast majority commits the entry as soon as it
		// is in memory.
		r.waiting[p.entry.Index] = p
	}
	r.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	if err := r.store(list); err != nil {
		_ = r.fail(err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing = false
	if r.reign == reign {
		r.announce(list[0].Index)
	}
}

// announce has written entries sent, from the given index on. The caller
// holds mu.
func (r *Replicator) announce(index uint64) {
	if r.reign.first == 0 {
		r.reign.first = index
	}
	r.reconcile()
	r.advance()
	r.wakePeers()
	r.notify()
}
