package replicator

import (
	"context"
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

// isNew tells whether the folder has not started yet.
func (r *Replicator) isNew() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.ballot.Started && r.failed == nil
}

// founders returns the first members, or nil if this member isn't one of them.
// They stand in the ballot from the start on, since the settings of a later
// start may name others.
func (r *Replicator) founders() []string {
	switch {
	case !r.ballot.Started && !r.cfg.Join:
		return r.cfg.Members
	case r.ballot.Started && r.ballot.Member == r.cfg.Name:
		first := append(slices.Collect(maps.Keys(r.ballot.Disks)), r.cfg.Name)
		slices.Sort(first)
		return first
	}
	return nil
}

// others returns the other first members.
func (r *Replicator) others() []string {
	return slices.DeleteFunc(slices.Clone(r.cfg.Members), func(m string) bool { return m == r.cfg.Name })
}

// contacts returns the other instances that may know the leader. The caller
// holds mu.
func (r *Replicator) contacts() []string {
	list := append(r.others(), r.cfg.Seeds()...)
	for _, v := range r.members().Voters {
		list = append(list, instance(v))
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(m string) bool { return m == r.cfg.Name })
}

// start decides whether a new folder belongs to a new log or stands in for
// a lost one. It takes part as a first member only if each other member is
// new too or saw this folder when it started; then no folder of this name
// can have voted or accepted an entry before. If a member with a state
// doesn't know the folder, the folder joins under an identity of its own.
func (r *Replicator) start(ctx context.Context) {
	if r.cfg.Join {
		r.begin(nil, true)
		return
	}
	// A short timeout, so that a member which comes up later is asked again
	// before the others hold their first election.
	ctx, cancel := context.WithTimeout(ctx, 2*r.cfg.HeartbeatInterval)
	defer cancel()
	disk, others := r.vote().Disk, r.others()
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
	disks, lost := map[string]string{}, false
	for range others {
		a := <-answers
		if a.reply == nil {
			continue
		}
		disks[a.name] = a.reply.Disk
		lost = lost || !a.reply.Fresh && !a.reply.Known
	}
	if !lost && len(disks) < len(others) {
		return
	}
	r.begin(disks, lost)
}

// begin stores the identity under which the folder takes part.
func (r *Replicator) begin(disks map[string]string, lost bool) {
	r.disk.Lock()
	defer r.disk.Unlock()
	b := r.vote()
	b.Started, b.Member, b.Disks = true, r.cfg.Name, disks
	if lost {
		b.Member, b.Disks = r.cfg.Name+"#"+b.Disk, nil
		r.mu.Lock()
		r.lists = nil
		r.mu.Unlock()
	}
	if r.save(b) == nil {
		r.cfg.Logger.Info("Member starts.", zap.String("member", b.Member))
	}
}

// isForgotten reports whether no leader has been heard of for so long that
// another member may have been given the place of this one. The caller holds
// mu.
func (r *Replicator) isForgotten() bool {
	return r.cfg.ReplaceAfter > 0 && r.reign == nil && r.cfg.Now().Sub(r.contact) > r.cfg.ReplaceAfter
}

// join asks the leader to make this member a learner and then a voter, for
// as long as it isn't one.
func (r *Replicator) join(ctx context.Context) {
	for r.pause(ctx, r.cfg.ElectionTimeout, nil) {
		r.mu.Lock()
		b := r.ballot
		outside := r.failed == nil && b.Started && (!isVoter(r.members(), b.Member) || r.isForgotten())
		var contacts []string
		if outside {
			contacts = r.contacts()
		}
		r.mu.Unlock()
		if !outside {
			continue
		}
		call, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout)
		var asked sync.WaitGroup
		for _, name := range contacts {
			asked.Go(func() {
				q := &wire.VoteRequest{Candidate: b.Member, Disk: b.Disk, To: name, Join: true}
				// Repeated until it is a voter.
				if reply, err := r.cfg.Vote(call, name, q); err == nil && reply.Leader != "" {
					r.mu.Lock()
					r.hint = reply.Leader
					r.mu.Unlock()
				}
			})
		}
		asked.Wait()
		cancel()
	}
}

// greet answers a folder that asks to start or to join.
func (r *Replicator) greet(q *wire.VoteRequest) (*wire.VoteReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return nil, r.failed
	}
	b := r.ballot
	if q.Join {
		r.admit(q.Candidate)
		return &wire.VoteReply{Term: b.Term, Leader: r.knownLeader()}, nil
	}
	fresh := !b.Started || b.Member == r.cfg.Name && b.Term == 0 && r.log.last() == 0
	return &wire.VoteReply{Disk: b.Disk, Fresh: fresh, Known: b.Disks[q.Candidate] == q.Disk}, nil
}
