package replicator

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// electionLoop bootstraps a new folder, starts an election when the leader is
// silent, and makes a leader without a quorum step down.
func (r *Replicator) electionLoop(ctx context.Context) {
	for r.isNew() {
		if !r.hasFailed() {
			r.bootstrap(ctx)
		}
		if r.isNew() && !r.pause(ctx, r.cfg.HeartbeatInterval, nil) {
			return
		}
	}
	timeout := r.randomTimeout()
	r.mu.Lock()
	if list := r.members(); len(list.Voters) != 1 || !isVoter(list, r.ballot.Member) {
		r.electionReset = r.cfg.Now() // a sole voter campaigns immediately
	}
	r.mu.Unlock()
	for ctx.Err() == nil {
		wait := r.tick(timeout)
		if wait <= 0 {
			r.campaign(ctx, false)
			timeout = r.randomTimeout()
			continue
		}
		select {
		case <-r.cfg.After(wait):
		case <-r.timeoutNow:
			r.campaign(ctx, true)
		case <-ctx.Done():
		}
	}
}

// randomTimeout returns a random election timeout.
func (r *Replicator) randomTimeout() time.Duration {
	return r.cfg.ElectionTimeout + time.Duration(r.cfg.Random()%uint64(r.cfg.ElectionTimeout))
}

// tick returns the time until the next election. On a leader it checks the
// quorum and the disk, and returns the time until the next check.
func (r *Replicator) tick(timeout time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if r.leading != nil {
		switch {
		case !r.quorumActive(r.members().Voters):
			r.stepDown("no quorum")
		case !r.diskSince.IsZero() && now.Sub(r.diskSince) > 2*r.cfg.ElectionTimeout:
			r.stepDown("slow disk")
		default:
			r.removeSilentLearner()
		}
		return r.cfg.HeartbeatInterval
	}
	since := r.lastContact
	if r.electionReset.After(since) {
		since = r.electionReset
	}
	return timeout - now.Sub(since)
}

// campaign runs a pre-vote and then an election. A leadership transfer skips
// the pre-vote.
func (r *Replicator) campaign(ctx context.Context, transfer bool) {
	r.mu.Lock()
	now := r.cfg.Now()
	r.electionReset = now
	term, contact := r.ballot.Term, r.lastContact
	eligible := r.failed == nil && r.leading == nil && isVoter(r.members(), r.ballot.Member)
	r.mu.Unlock()
	if !eligible || !transfer && !r.requestVotes(ctx, term+1, true, false) {
		return
	}
	if !r.becomeCandidate(term, contact, transfer) {
		return
	}
	if r.requestVotes(ctx, term+1, false, transfer) {
		r.becomeLeader(term + 1)
	}
}

// becomeCandidate votes for this member in the term after term, unless a
// leader has made contact since the caller read lastContact.
func (r *Replicator) becomeCandidate(term uint64, contact time.Time, transfer bool) bool {
	r.lockDisk()
	defer r.unlockDisk()
	b := r.copyBallot()
	r.mu.Lock()
	stale := b.Term != term || !transfer && r.lastContact.After(contact)
	r.mu.Unlock()
	if stale {
		return false
	}
	b.Term, b.Vote = term+1, b.Member
	if r.saveBallot(b) != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.candidate = true
	return true
}

// requestVotes asks all voters and reports whether a majority granted its
// vote.
func (r *Replicator) requestVotes(ctx context.Context, term uint64, probe, transfer bool) bool {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout)
	defer cancel()
	r.mu.Lock()
	self, voters, last := r.ballot.Member, r.members().Voters, r.log.last()
	q := &wire.VoteRequest{Term: term, Candidate: self, Index: last, Last: r.log.term(last), Probe: probe, Transfer: transfer}
	r.mu.Unlock()
	type answer struct {
		voter   string
		granted bool
		err     error
	}
	answers := make(chan answer, len(voters))
	for _, v := range voters {
		if v == self {
			answers <- answer{v, true, nil}
			continue
		}
		r.group.Go(func() {
			ok, err := r.requestVote(ctx, v, q)
			answers <- answer{v, ok, err}
		})
	}
	granted := map[string]bool{}
	refused := map[string]string{}
	for range voters {
		a := <-answers
		switch {
		case a.granted:
			granted[a.voter] = true
		case a.err != nil:
			refused[a.voter] = a.err.Error()
		default:
			refused[a.voter] = "refused"
		}
		if hasMajority(voters, func(v string) bool { return granted[v] }) {
			r.logElection(term, "")
			return true
		}
		if !hasMajority(voters, func(v string) bool { return refused[v] == "" }) {
			r.logElection(term, fmt.Sprint(refused))
			return false
		}
	}
	return false
}

// logElection logs a lost election if the answers of the voters differ from
// those of the one before; refused is "" if the election was won.
func (r *Replicator) logElection(term uint64, refused string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if refused != "" && refused != r.lastElection {
		r.cfg.Logger.Info("election lost", zap.String("member", r.ballot.Member), zap.Uint64("term", term),
			zap.String("leader", r.leader), zap.Time("contact", r.lastContact), zap.String("answers", refused))
	}
	r.lastElection = refused
}

// requestVote asks one voter and reports whether it granted its vote.
func (r *Replicator) requestVote(ctx context.Context, voter string, q *wire.VoteRequest) (bool, error) {
	q = proto.CloneOf(q)
	q.To = voter
	reply, err := r.cfg.Vote(ctx, instance(voter), q)
	if err != nil {
		return false, err
	}
	if reply.Term > q.Term || q.Probe && reply.Term == q.Term {
		r.adoptTerm(reply.Term)
	}
	return reply.Granted, nil
}

// Vote handles the vote request of a candidate, and the request of a folder
// that asks to start or to join.
func (r *Replicator) Vote(_ context.Context, q *wire.VoteRequest) (*wire.VoteReply, error) {
	if q.Disk != "" {
		return r.handshake(q)
	}
	r.lockDisk()
	defer r.unlockDisk()
	r.mu.Lock()
	b, granted, err := r.decideVote(q)
	changed := err == nil && (b.Term != r.ballot.Term || b.Vote != r.ballot.Vote)
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if changed {
		if err := r.saveBallot(b); err != nil {
			return nil, err
		}
	}
	if granted && !q.Probe {
		r.mu.Lock()
		r.electionReset = r.cfg.Now()
		r.mu.Unlock()
	}
	return &wire.VoteReply{Term: b.Term, Granted: granted}, nil
}

// decideVote decides on a vote request and returns the resulting ballot. The
// caller holds diskMu and mu.
func (r *Replicator) decideVote(q *wire.VoteRequest) (*wire.Ballot, bool, error) {
	if err := r.checkRecipient(q.To); err != nil {
		return nil, false, err
	}
	b := proto.CloneOf(r.ballot)
	last := r.log.last()
	upToDate := q.Last > r.log.term(last) || q.Last == r.log.term(last) && q.Index >= last
	// A member that hears from a leader keeps its term, so a member that was
	// partitioned or removed cannot depose the leader.
	hasLeader := r.leading != nil || r.cfg.Now().Sub(r.lastContact) < r.cfg.ElectionTimeout
	if hasLeader && !q.Transfer || q.Term < b.Term {
		return b, false, nil
	}
	if q.Probe {
		return b, upToDate && q.Term > b.Term, nil
	}
	if q.Term > b.Term {
		b.Term, b.Vote = q.Term, ""
	}
	if !upToDate || b.Vote != "" && b.Vote != q.Candidate {
		return b, false, nil
	}
	b.Vote = q.Candidate
	return b, true, nil
}

// checkRecipient checks that this member may answer a message addressed to
// the identity to. The caller holds mu.
func (r *Replicator) checkRecipient(to string) error {
	if r.failed != nil {
		return r.failed
	}
	if !r.ballot.Started {
		return eris.Wrap(fault.Unavailable, "member has not started")
	}
	if to != r.ballot.Member {
		return eris.Wrapf(fault.Fenced, "this is member %s, not %s", r.ballot.Member, to)
	}
	return nil
}

// stepDown gives up leadership, if any, and fails all pending proposals. The
// caller holds mu.
func (r *Replicator) stepDown(reason string) {
	r.candidate = false
	if r.leading != nil {
		r.cfg.Logger.Info("leadership ended", zap.Uint64("term", r.leading.term), zap.String("reason", reason))
		r.leading.cancel()
		r.leading = nil
		r.electionReset = r.cfg.Now()
	}
	for _, p := range r.queue {
		p.done <- outcome{err: r.notLeaderError()}
	}
	r.queue = nil
	for index, p := range r.waiting {
		p.done <- outcome{err: uncertainError(index)}
		delete(r.waiting, index)
	}
	r.notify()
}
