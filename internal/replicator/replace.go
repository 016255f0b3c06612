package replicator

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// absence is the number of election timeouts of silence after which the
// replacement by a learner is given up, so that others can go on.
const absence = 10

// Replace puts the member next in the place of the voter old. Both are
// instance names or member identities; next must have asked to join. It
// becomes a learner and catches up, old is removed, and next gets the vote;
// each step is a committed entry. If the leader is lost on the way, the one
// after it goes on when the learner asks again. A leader replaces a member
// whose folder is lost by itself, when the new folder asks to join.
//
// The error wraps fault.Isolated on a member that doesn't lead,
// fault.Unavailable if next has not asked to join or doesn't answer,
// fault.Missing if old is no voter, fault.Conflict if old is the leader or next
// is taking a place that is free already, and fault.Overloaded if another
// change is in progress.
func (r *Replicator) Replace(ctx context.Context, old, next string) error {
	r.mu.Lock()
	reign := r.reign
	if reign == nil {
		defer r.mu.Unlock()
		return r.isolated()
	}
	if joiner := r.joiners[next]; joiner != "" {
		next = joiner
	}
	list := r.members()
	i := slices.IndexFunc(list.Voters, func(v string) bool { return v == old || instance(v) == old })
	joined := r.joiners[instance(next)] == next
	if i >= 0 {
		old = list.Voters[i]
	}
	self := r.ballot.Member
	l := learnerOf(list, next)
	fills := l != nil && l.Replaces != old && !isVoter(list, l.Replaces)
	r.mu.Unlock()
	switch {
	case !joined:
		return eris.Wrapf(fault.Unavailable, "member %s has not asked to join", next)
	case i < 0:
		return eris.Wrapf(fault.Missing, "no voter %s", old)
	case old == self:
		return eris.Wrapf(fault.Conflict, "member %s leads; transfer first", old)
	case fills:
		return eris.Wrapf(fault.Conflict, "member %s is taking the place of %s, which has been removed", next, l.Replaces)
	}
	return r.substitute(ctx, reign, old, next)
}

// admit notes a folder that asks to join and, on the leader, replaces the
// member that it stands in for. The caller holds mu.
func (r *Replicator) admit(member string) {
	name := instance(member)
	r.joiners[name] = member
	list := r.members()
	if r.reign == nil || r.reign.busy || isVoter(list, member) {
		return
	}
	old := ""
	for _, l := range list.Learners {
		if instance(l.Member) == name {
			old = l.Replaces
		}
	}
	for _, v := range list.Voters {
		if old == "" && instance(v) == name {
			old = v
		}
	}
	if old == "" {
		old = r.absent()
	}
	if old == r.ballot.Member || old == "" && len(list.Voters) >= r.cfg.VoterCount {
		return
	}
	reign := r.reign
	r.group.Go(func() {
		if err := r.substitute(reign.ctx, reign, old, member); err != nil {
			r.cfg.Logger.Warn("Replacing a member.", zap.String("old", old), zap.String("new", member), zap.Error(err))
		}
	})
}

// absent returns the voter that has been silent for longest, if that is long
// enough for an instance of another name to take its place. The caller holds
// mu and this member leads.
func (r *Replicator) absent() string {
	oldest, since := "", r.cfg.Now().Add(-r.cfg.ReplaceAfter)
	for _, v := range r.members().Voters {
		if p := r.reign.peers[v]; r.cfg.ReplaceAfter > 0 && p != nil && p.contact.Before(since) {
			oldest, since = v, p.contact
		}
	}
	return oldest
}

// substitute takes the steps of Replace that have not been taken yet.
func (r *Replicator) substitute(ctx context.Context, reign *reign, old, next string) error {
	r.mu.Lock()
	busy := reign.busy
	reign.busy = true
	r.mu.Unlock()
	if busy {
		return eris.Wrap(fault.Overloaded, "another membership change is in progress")
	}
	defer r.finish(reign)
	if err := r.change(ctx, reign, func(m *wire.Members) { addLearner(m, old, next) }); err != nil {
		return err
	}
	if err := r.caughtUp(ctx, reign, next); err != nil {
		return err
	}
	if err := r.change(ctx, reign, func(m *wire.Members) { removeVoter(m, old) }); err != nil {
		return err
	}
	return r.change(ctx, reign, func(m *wire.Members) { promote(m, next) })
}

// change commits one member list that differs in at most one voter. It does
// nothing if edit doesn't change the list.
func (r *Replicator) change(ctx context.Context, reign *reign, edit func(*wire.Members)) error {
	var before, after *wire.Members
	err := r.await(ctx, func() (bool, error) {
		if r.reign != reign {
			return false, r.isolated()
		}
		before = r.members()
		after = proto.CloneOf(before)
		edit(after)
		// A new list needs a committed entry of the term, the list before it
		// committed, and a majority of its own that answers.
		latest := r.lists[len(r.lists)-1].index
		return reign.first > 0 && r.commit >= max(reign.first, latest) && r.answers(after.Voters), nil
	})
	if err != nil || proto.Equal(before, after) {
		return err
	}
	if n := differing(before.Voters, after.Voters); n > 1 {
		return r.fail(eris.Wrapf(fault.Broken, "membership change of %d voters at once", n))
	}
	data, err := proto.Marshal(after)
	if err != nil {
		return eris.Wrap(err, "encode members")
	}
	r.cfg.Logger.Info("Members changed.", zap.Strings("voters", after.Voters), zap.Int("learners", len(after.Learners)))
	_, _, err = r.submit(ctx, reign, &wire.Entry{Members: data})
	return err
}

// caughtUp waits until a learner holds what is committed now.
func (r *Replicator) caughtUp(ctx context.Context, reign *reign, member string) error {
	target := uint64(0)
	return r.await(ctx, func() (bool, error) {
		if r.reign != reign {
			return false, r.isolated()
		}
		if newer := r.joiners[instance(member)]; newer != "" && newer != member {
			return false, eris.Wrapf(fault.Conflict, "member %s has been followed by %s", member, newer)
		}
		if target == 0 {
			target = r.commit
		}
		p := reign.peers[member]
		if p == nil || r.cfg.Now().Sub(p.contact) > absence*r.cfg.ElectionTimeout {
			return false, eris.Wrapf(fault.Unavailable, "member %s does not answer", member)
		}
		return p.match >= target, nil
	})
}

// differing returns the number of voters that only one of the lists has.
func differing(a, b []string) int {
	n := 0
	for _, v := range a {
		if !slices.Contains(b, v) {
			n++
		}
	}
	for _, v := range b {
		if !slices.Contains(a, v) {
			n++
		}
	}
	return n
}

// sweep drops a learner that has been silent for long, while the voter that it
// was to replace is still there. Such a learner comes from a request to join
// that arrives after its folder was lost, or from a replacement that was given
// up; if it is alive, it asks again. The caller holds mu and this member
// leads.
func (r *Replicator) sweep() {
	reign, list := r.reign, r.members()
	if reign.busy {
		return
	}
	for _, l := range list.Learners {
		p := reign.peers[l.Member]
		if p == nil || l.Replaces != "" && !isVoter(list, l.Replaces) || r.cfg.Now().Sub(p.contact) <= absence*r.cfg.ElectionTimeout {
			continue
		}
		reign.busy = true
		r.group.Go(func() {
			defer r.finish(reign)
			if err := r.change(reign.ctx, reign, func(m *wire.Members) { removeLearner(m, l.Member) }); err != nil {
				r.cfg.Logger.Warn("Removing a silent learner.", zap.String("member", l.Member), zap.Error(err))
			}
		})
		return
	}
}

// finish allows the next membership change.
func (r *Replicator) finish(reign *reign) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reign.busy = false
}

// addLearner makes next the one learner that replaces old.
func addLearner(m *wire.Members, old, next string) {
	if l := learnerOf(m, next); isVoter(m, next) || l != nil && l.Replaces == old {
		return
	}
	m.Learners = slices.DeleteFunc(m.Learners, func(l *wire.Learner) bool {
		return l.Replaces == old || instance(l.Member) == instance(next)
	})
	m.Learners = append(m.Learners, &wire.Learner{Member: next, Replaces: old})
}

func removeLearner(m *wire.Members, member string) {
	m.Learners = slices.DeleteFunc(m.Learners, func(l *wire.Learner) bool { return l.Member == member })
}

func removeVoter(m *wire.Members, old string) {
	m.Voters = slices.DeleteFunc(m.Voters, func(v string) bool { return v == old })
}

func promote(m *wire.Members, member string) {
	if learnerOf(m, member) == nil {
		return
	}
	removeLearner(m, member)
	m.Voters = append(m.Voters, member)
}
