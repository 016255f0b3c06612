package replicator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// Append handles entries from the leader. A request without entries is a
// heartbeat.
func (r *Replicator) Append(_ context.Context, q *wire.AppendRequest) (*wire.AppendReply, error) {
	r.lockDisk()
	defer r.unlockDisk()
	term, err := r.acceptLeader(q.Term, q.Leader, q.To)
	if err != nil {
		return nil, err
	}
	reply := &wire.AppendReply{Term: term, Round: q.Round}
	if term > q.Term {
		return reply, nil
	}
	r.mu.Lock()
	hint, ok := r.matchPrevious(q)
	entries, err := r.newEntries(q)
	r.mu.Unlock()
	if !ok {
		reply.Index = hint
		return reply, nil
	}
	if err == nil {
		err = r.appendEntries(entries)
	}
	if err != nil {
		return nil, r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastContact = r.cfg.Now()
	reply.Success, reply.Index = true, q.Index+uint64(len(q.Entries))
	r.setCommit(min(q.Commit, reply.Index))
	if q.Transfer {
		signal(r.timeoutNow)
	}
	return reply, nil
}

// acceptLeader accepts leader as the leader of term. It returns the current
// term, which is higher than term if the sender is stale. The caller holds
// diskMu.
func (r *Replicator) acceptLeader(term uint64, leader, to string) (uint64, error) {
	r.mu.Lock()
	err := r.checkRecipient(to)
	if r.failed != nil && term >= r.ballot.Term {
		// A failed member still tracks the leader so it can redirect clients.
		r.leader, r.lastContact = leader, r.cfg.Now()
	}
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	b := r.copyBallot()
	if term < b.Term {
		return b.Term, nil
	}
	if term > b.Term {
		b.Term, b.Vote = term, ""
		if err := r.saveBallot(b); err != nil {
			return 0, err
		}
	}
	r.mu.Lock()
	known := r.leader
	if known == "" || known == leader {
		r.leader, r.lastContact, r.candidate = leader, r.cfg.Now(), false
		r.previousLeader = leader
	}
	r.mu.Unlock()
	if known != "" && known != leader {
		return 0, r.fail(eris.Wrapf(fault.Broken, "two leaders in term %d: %s and %s", term, known, leader))
	}
	return term, nil
}

// matchPrevious reports whether the log holds the entry preceding those in q.
// If not, hint is the index from which the leader should retry. The caller
// holds mu.
func (r *Replicator) matchPrevious(q *wire.AppendRequest) (hint uint64, ok bool) {
	if q.Index > r.log.last() {
		return r.log.last(), false
	}
	if q.Index < r.log.baseIndex {
		return 0, true // covered by a snapshot, hence committed
	}
	term := r.log.term(q.Index)
	if term == q.Last {
		return 0, true
	}
	for hint = q.Index - 1; hint > r.commit && r.log.term(hint) == term; {
		hint--
	}
	return hint, false
}

// newEntries returns the entries in q that the log does not hold yet. The
// caller holds mu.
func (r *Replicator) newEntries(q *wire.AppendRequest) ([]*wire.Entry, error) {
	for i, entry := range q.Entries {
		index := q.Index + 1 + uint64(i)
		if entry.Index != index || entry.Term == 0 {
			return nil, eris.Wrapf(fault.Broken, "received entry has index %d, want %d", entry.Index, index)
		}
		if index <= r.log.baseIndex {
			continue
		}
		if index > r.log.last() || r.log.term(index) != entry.Term {
			return q.Entries[i:], nil
		}
	}
	return nil, nil
}

// appendEntries writes batch to the log, replacing any conflicting suffix.
// The caller holds diskMu.
func (r *Replicator) appendEntries(batch []*wire.Entry) error {
	if len(batch) == 0 {
		return nil
	}
	first := batch[0].Index
	if r.log.last() >= first {
		if err := r.truncate(first); err != nil {
			return err
		}
	}
	if err := r.log.write(batch); err != nil {
		return storageError{eris.Wrapf(fault.Corrupt, "journal: %v", err)}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.entries = append(r.log.entries, batch...)
	return r.addMemberships(batch)
}

// truncate removes uncommitted entries from index on. The caller holds
// diskMu.
func (r *Replicator) truncate(index uint64) error {
	r.mu.Lock()
	commit := r.commit
	r.mu.Unlock()
	if index <= commit {
		return eris.Wrapf(fault.Broken, "cannot truncate at entry %d: committed up to %d", index, commit)
	}
	if err := r.log.journal.Truncate(index - 1); err != nil {
		return storageError{eris.Wrapf(fault.Corrupt, "journal: %v", err)}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.entries = r.log.entries[: index-r.log.baseIndex-1 : index-r.log.baseIndex-1]
	r.truncateMemberships(index)
	return nil
}
