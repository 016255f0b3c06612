package replicator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// Append stores entries of the leader; without entries it is a heartbeat.
func (r *Replicator) Append(_ context.Context, q *wire.AppendRequest) (*wire.AppendReply, error) {
	r.disk.Lock()
	defer r.disk.Unlock()
	term, err := r.follow(q.Term, q.Leader, q.To)
	if err != nil {
		return nil, err
	}
	reply := &wire.AppendReply{Term: term, Round: q.Round}
	if term > q.Term {
		return reply, nil
	}
	r.mu.Lock()
	hint, matches := r.matches(q)
	fresh, err := r.missing(q)
	r.mu.Unlock()
	if !matches {
		reply.Index = hint
		return reply, nil
	}
	if err == nil {
		err = r.store(fresh)
	}
	if err != nil {
		return nil, r.fail(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.contact = r.cfg.Now()
	reply.Success, reply.Index = true, q.Index+uint64(len(q.Entries))
	r.setCommit(min(q.Commit, reply.Index))
	if q.Transfer {
		signal(r.hurry)
	}
	return reply, nil
}

// follow accepts the sender as the leader of its term and returns the own
// term, which is higher if the sender is an old leader. The caller holds
// disk.
func (r *Replicator) follow(term uint64, leader, to string) (uint64, error) {
	r.mu.Lock()
	err := r.addressed(to)
	if r.failed != nil {
		// A stopped member still knows whom to send its clients to.
		r.leader, r.contact = leader, r.cfg.Now()
	}
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	b := r.vote()
	if term < b.Term {
		return b.Term, nil
	}
	if term > b.Term {
		b.Term, b.Vote = term, ""
		if err := r.save(b); err != nil {
			return 0, err
		}
	}
	r.mu.Lock()
	known := r.leader
	if known == "" || known == leader {
		r.leader, r.contact, r.stands = leader, r.cfg.Now(), false
	}
	r.mu.Unlock()
	if known != "" && known != leader {
		return 0, r.fail(eris.Wrapf(fault.Broken, "two leaders in term %d: %s and %s", term, known, leader))
	}
	return term, nil
}

// matches tells whether the log holds the entry before the first one sent,
// or else from where the leader should try. The caller holds mu.
func (r *Replicator) matches(q *wire.AppendRequest) (hint uint64, ok bool) {
	if q.Index > r.log.last() {
		return r.log.last(), false
	}
	if q.Index < r.log.base {
		return 0, true // covered by a snapshot, so committed
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

// missing returns the entries sent that the log doesn't hold. The caller
// holds mu.
func (r *Replicator) missing(q *wire.AppendRequest) ([]*wire.Entry, error) {
	for i, entry := range q.Entries {
		index := q.Index + 1 + uint64(i)
		if entry.Index != index || entry.Term == 0 {
			return nil, eris.Wrapf(fault.Broken, "entry %d sent as entry %d", entry.Index, index)
		}
		if index <= r.log.base {
			continue
		}
		if index > r.log.last() || r.log.term(index) != entry.Term {
			return q.Entries[i:], nil
		}
	}
	return nil, nil
}

// store replaces the end of the log by the entries. The caller holds disk.
func (r *Replicator) store(batch []*wire.Entry) error {
	if len(batch) == 0 {
		return nil
	}
	first := batch[0].Index
	if r.log.last() >= first {
		if err := r.drop(first); err != nil {
			return err
		}
	}
	if err := r.log.write(batch); err != nil {
		return eris.Wrapf(fault.Corrupt, "journal: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.list = append(r.log.list, batch...)
	return r.enforce(batch)
}

// drop removes the entries from index on, which no majority holds. The
// caller holds disk.
func (r *Replicator) drop(index uint64) error {
	r.mu.Lock()
	commit := r.commit
	r.mu.Unlock()
	if index <= commit {
		return eris.Wrapf(fault.Broken, "entry %d would change, committed up to %d", index, commit)
	}
	if err := r.log.journal.Truncate(index - 1); err != nil {
		return eris.Wrapf(fault.Corrupt, "journal: %v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.list = r.log.list[: index-r.log.base-1 : index-r.log.base-1]
	r.forget(index)
	return nil
}
