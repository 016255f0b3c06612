package replicator

import (
	"context"
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

// isNew reports whether the folder has no stored member identity yet.
func (r *Replicator) isNew() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ballot.Started
}

// hasFailed reports whether the member has stopped, for good or until its
// storage works again.
func (r *Replicator) hasFailed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed != nil
}

// initialMembers returns the initial members, or nil if this member is not
// one of them. After the first start they come from the ballot, because the
// configuration may name different members by then.
func (r *Replicator) initialMembers() []string {
	switch {
	case !r.ballot.Started && !r.cfg.Join:
		return r.cfg.Members
	case r.ballot.Started && r.ballot.Member == r.cfg.Name:
		list := append(slices.Collect(maps.Keys(r.ballot.Disks)), r.cfg.Name)
		slices.Sort(list)
		return list
	}
	return nil
}

// otherMembers returns the configured initial members except this one.
func (r *Replicator) otherMembers() []string {
	return slices.DeleteFunc(slices.Clone(r.cfg.Members), func(m string) bool { return m == r.cfg.Name })
}

// seeds returns the other instances that may know the leader. The caller
// holds mu.
func (r *Replicator) seeds() []string {
	list := append(r.otherMembers(), r.cfg.Seeds()...)
	for _, v := range r.members().Voters {
		list = append(list, instance(v))
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(m string) bool { return m == r.cfg.Name })
}

// bootstrap decides whether a new folder starts a new log or replaces a lost
// folder. It becomes an initial member only if every other member is also new
// or saw this folder at its own start, since then no earlier folder of this
// name can have voted or accepted an entry. If a member with existing state
// does not know the folder, the folder joins under a new identity.
func (r *Replicator) bootstrap(ctx context.Context) {
	if r.cfg.Join {
		r.saveIdentity(nil, true)
		return
	}
	// The timeout is short so that a member that comes up later is asked
	// again before the others hold their first election.
	ctx, cancel := context.WithTimeout(ctx, 2*r.cfg.HeartbeatInterval)
	defer cancel()
	disk, others := r.copyBallot().Disk, r.otherMembers()
	type answer struct {
		name  string
		reply *wire.VoteReply
	}
	answers := make(chan answer, len(others))
	for _, name := range others {
		r.group.Go(func() {
			reply, err := r.cfg.Vote(ctx, name, &wire.VoteRequest{Candidate: r.cfg.Name, Disk: disk, To: name})
			if err != nil {
				reply = nil
			}
			answers <- answer{name, reply}
		})
	}
	disks, rejoin := map[string]string{}, false
	for range others {
		a := <-answers
		if a.reply == nil {
			continue
		}
		disks[a.name] = a.reply.Disk
		rejoin = rejoin || !a.reply.Fresh && !a.reply.Known
	}
	if !rejoin && len(disks) < len(others) {
		return
	}
	r.saveIdentity(disks, rejoin)
}

// saveIdentity stores the member identity of the folder. With rejoin it is a
// new identity, and the initial members are dropped.
func (r *Replicator) saveIdentity(disks map[string]string, rejoin bool) {
	r.lockDisk()
	defer r.unlockDisk()
	b := r.copyBallot()
	b.Started, b.Member, b.Disks = true, r.cfg.Name, disks
	if rejoin {
		b.Member, b.Disks = r.cfg.Name+"#"+b.Disk, nil
		r.mu.Lock()
		r.memberships = nil
		r.mu.Unlock()
	}
	if r.saveBallot(b) == nil {
		r.cfg.Logger.Info("member started", zap.String("member", b.Member))
	}
}

// mayBeReplaced reports whether this member has heard from no leader for
// longer than ReplaceAfter, so it may have been replaced. The caller holds
// mu.
func (r *Replicator) mayBeReplaced() bool {
	return r.cfg.ReplaceAfter > 0 && r.leading == nil && r.cfg.Now().Sub(r.lastContact) > r.cfg.ReplaceAfter
}

// joinLoop periodically asks to be added as a learner and promoted, while
// this member is not a voter or may have been replaced.
func (r *Replicator) joinLoop(ctx context.Context) {
	for r.pause(ctx, r.cfg.ElectionTimeout, nil) {
		r.mu.Lock()
		b := r.ballot
		mustJoin := r.failed == nil && b.Started && (!isVoter(r.members(), b.Member) || r.mayBeReplaced())
		var seeds []string
		if mustJoin {
			seeds = r.seeds()
		}
		r.mu.Unlock()
		if !mustJoin {
			continue
		}
		r.askToJoin(ctx, b, seeds)
	}
}

// askToJoin asks the seeds, and then the leader that they name if it isn't one of
// them. A failed request is repeated by the caller.
func (r *Replicator) askToJoin(ctx context.Context, b *wire.Ballot, seeds []string) {
	// An instance that is down must not delay the next request to the others.
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout/2)
	defer cancel()
	leaders := make(chan string, len(seeds))
	ask := func(name string) string {
		reply, err := r.cfg.Vote(ctx, name, &wire.VoteRequest{Candidate: b.Member, Disk: b.Disk, To: name, Join: true})
		if err != nil || reply.Leader == "" {
			return ""
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.leaderHint = reply.Leader
		return reply.Leader
	}
	var group sync.WaitGroup
	for _, name := range seeds {
		group.Go(func() { leaders <- ask(name) })
	}
	defer group.Wait()
	asked := append(slices.Clone(seeds), r.cfg.Name, "")
	for range seeds {
		if leader := <-leaders; !slices.Contains(asked, leader) {
			asked = append(asked, leader)
			ask(leader)
		}
	}
}

// handshake answers a folder that asks to start or to join.
func (r *Replicator) handshake(q *wire.VoteRequest) (*wire.VoteReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return nil, r.failed
	}
	b := r.ballot
	if q.Join {
		r.handleJoin(q.Candidate)
		return &wire.VoteReply{Term: b.Term, Leader: r.knownLeader()}, nil
	}
	fresh := !b.Started || b.Member == r.cfg.Name && b.Term == 0 && r.log.last() == 0
	return &wire.VoteReply{Disk: b.Disk, Fresh: fresh, Known: b.Disks[q.Candidate] == q.Disk}, nil
}
