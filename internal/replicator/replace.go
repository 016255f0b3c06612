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

// learnerTimeoutFactor is the number of election timeouts a learner may be
// silent before its replacement is abandoned, so that other membership
// changes can proceed.
const learnerTimeoutFactor = 10

// Replace replaces the voter old with the member next. Both are instance
// names or member identities, and next must have asked to join. next becomes
// a learner and catches up, old is removed, and next becomes a voter. Each
// step is a committed entry. If leadership changes midway, the new leader
// resumes when the learner asks again. A leader replaces a member with a lost
// folder automatically when the new folder asks to join.
//
// The error wraps fault.Isolated if this member is not the leader,
// fault.Unavailable if next has not asked to join or does not answer,
// fault.Missing if old is not a voter, fault.Conflict if old is the leader or
// next is already filling the place of a removed voter, and fault.Overloaded
// if another change is in progress.
func (r *Replicator) Replace(ctx context.Context, old, next string) error {
	r.mu.Lock()
	ls := r.leading
	if ls == nil {
		defer r.mu.Unlock()
		return r.notLeaderError()
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
	l := findLearner(list, next)
	takesOver := l != nil && l.Replaces != old && !isVoter(list, l.Replaces)
	r.mu.Unlock()
	switch {
	case !joined:
		return eris.Wrapf(fault.Unavailable, "member %s has not asked to join", next)
	case i < 0:
		return eris.Wrapf(fault.Missing, "member %s is not a voter", old)
	case old == self:
		return eris.Wrapf(fault.Conflict, "member %s is the leader; transfer leadership first", old)
	case takesOver:
		return eris.Wrapf(fault.Conflict, "member %s is already replacing the removed voter %s", next, l.Replaces)
	}
	return r.replaceVoter(ctx, ls, old, next)
}

// handleJoin records a folder that asks to join. On the leader it starts the
// replacement of the corresponding voter, or adds a voter below VoterCount.
// The caller holds mu.
func (r *Replicator) handleJoin(member string) {
	name := instance(member)
	r.joiners[name] = member
	list := r.members()
	if r.leading == nil || r.leading.changing || isVoter(list, member) {
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
		old = r.absentVoter()
	}
	if old == r.ballot.Member || old == "" && len(list.Voters) >= r.cfg.VoterCount {
		return
	}
	ls := r.leading
	ls.changing = true // before another member asks, which may then be one too many
	r.group.Go(func() {
		if err := r.changeVoter(ls.ctx, ls, old, member); err != nil {
			r.cfg.Logger.Warn("failed to replace member", zap.String("old", old), zap.String("new", member), zap.Error(err))
		}
	})
}

// absentVoter returns the voter that has been silent longest, if that exceeds
// ReplaceAfter, or "". The caller holds mu, and this member leads.
func (r *Replicator) absentVoter() string {
	oldest, since := "", r.cfg.Now().Add(-r.cfg.ReplaceAfter)
	for _, v := range r.members().Voters {
		if p := r.leading.peers[v]; r.cfg.ReplaceAfter > 0 && p != nil && p.silentSince.Before(since) {
			oldest, since = v, p.silentSince
		}
	}
	return oldest
}

// replaceVoter performs the remaining steps of Replace unless a change is in progress.
func (r *Replicator) replaceVoter(ctx context.Context, ls *leaderState, old, next string) error {
	r.mu.Lock()
	changing := ls.changing
	ls.changing = true
	r.mu.Unlock()
	if changing {
		return eris.Wrap(fault.Overloaded, "another membership change is in progress")
	}
	return r.changeVoter(ctx, ls, old, next)
}

// changeVoter lets next take the place of old, or a free one if old is "". The caller has
// set changing, which it ends.
func (r *Replicator) changeVoter(ctx context.Context, ls *leaderState, old, next string) error {
	defer r.endChange(ls)
	if err := r.changeMembers(ctx, ls, func(m *wire.Members) { addLearner(m, old, next) }); err != nil {
		return err
	}
	if err := r.awaitCatchUp(ctx, ls, next); err != nil {
		return err
	}
	if err := r.changeMembers(ctx, ls, func(m *wire.Members) { removeVoter(m, old) }); err != nil {
		return err
	}
	return r.changeMembers(ctx, ls, func(m *wire.Members) { promote(m, next) })
}

// changeMembers commits a member list that differs in at most one voter. It
// does nothing if edit leaves the list unchanged.
func (r *Replicator) changeMembers(ctx context.Context, ls *leaderState, edit func(*wire.Members)) error {
	var before, after *wire.Members
	err := r.await(ctx, func() (bool, error) {
		if r.leading != ls {
			return false, r.notLeaderError()
		}
		before = r.members()
		after = proto.CloneOf(before)
		edit(after)
		// A new list requires a committed entry of the current term, a
		// committed previous list, and an active majority of its own voters.
		latest := r.memberships[len(r.memberships)-1].index
		return ls.firstIndex > 0 && r.commit >= max(ls.firstIndex, latest) && r.quorumActive(after.Voters), nil
	})
	if err != nil || proto.Equal(before, after) {
		return err
	}
	if n := countDifferences(before.Voters, after.Voters); n > 1 {
		return r.fail(eris.Wrapf(fault.Broken, "membership change affects %d voters, want at most 1", n))
	}
	data, err := proto.Marshal(after)
	if err != nil {
		return eris.Wrap(err, "encode members")
	}
	r.cfg.Logger.Info("changing members", zap.Strings("voters", after.Voters), zap.Int("learners", len(after.Learners)))
	_, _, err = r.submit(ctx, ls, &wire.Entry{Members: data})
	return err
}

// awaitCatchUp waits until a learner holds every entry committed at the time
// of the call.
func (r *Replicator) awaitCatchUp(ctx context.Context, ls *leaderState, member string) error {
	commit := uint64(0)
	return r.await(ctx, func() (bool, error) {
		if r.leading != ls {
			return false, r.notLeaderError()
		}
		if newer := r.joiners[instance(member)]; newer != "" && newer != member {
			return false, eris.Wrapf(fault.Conflict, "member %s was superseded by %s", member, newer)
		}
		if commit == 0 {
			commit = r.commit
		}
		p := ls.peers[member]
		if p == nil || r.cfg.Now().Sub(p.lastContact) > learnerTimeoutFactor*r.cfg.ElectionTimeout {
			return false, eris.Wrapf(fault.Unavailable, "member %s is not responding", member)
		}
		return p.matchIndex >= commit, nil
	})
}

// countDifferences returns the number of voters that are in only one of the
// lists.
func countDifferences(a, b []string) int {
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

// removeSilentLearner removes a learner that has been silent too long, if the
// voter it was to replace is still present. Such a learner is left by a late
// join request from a lost folder or by an abandoned replacement. If it is
// alive, it asks to join again. The caller holds mu, and this member leads.
func (r *Replicator) removeSilentLearner() {
	ls, list := r.leading, r.members()
	if ls.changing {
		return
	}
	for _, l := range list.Learners {
		p := ls.peers[l.Member]
		if p == nil || l.Replaces != "" && !isVoter(list, l.Replaces) || r.cfg.Now().Sub(p.lastContact) <= learnerTimeoutFactor*r.cfg.ElectionTimeout {
			continue
		}
		ls.changing = true
		r.group.Go(func() {
			defer r.endChange(ls)
			if err := r.changeMembers(ls.ctx, ls, func(m *wire.Members) { removeLearner(m, l.Member) }); err != nil {
				r.cfg.Logger.Warn("failed to remove silent learner", zap.String("member", l.Member), zap.Error(err))
			}
		})
		return
	}
}

// endChange allows the next membership change.
func (r *Replicator) endChange(ls *leaderState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ls.changing = false
}

// addLearner makes next the only learner that replaces old.
func addLearner(m *wire.Members, old, next string) {
	if l := findLearner(m, next); isVoter(m, next) || l != nil && l.Replaces == old {
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
	if findLearner(m, member) == nil {
		return
	}
	removeLearner(m, member)
	m.Voters = append(m.Voters, member)
}
