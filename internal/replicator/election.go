package replicator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// elect starts the member, stands for election when no leader is heard of,
// and makes a leader without a quorum step down.
func (r *Replicator) elect(ctx context.Context) {
	for r.isNew() {
		r.start(ctx)
		if r.isNew() && !r.pause(ctx, r.cfg.HeartbeatInterval, nil) {
			return
		}
	}
	timeout := r.timeout()
	r.mu.Lock()
	if list := r.members(); len(list.Voters) != 1 || !isVoter(list, r.ballot.Member) {
		r.tried = r.cfg.Now() // a sole voter stands at once
	}
	r.mu.Unlock()
	for ctx.Err() == nil {
		wait := r.remaining(timeout)
		if wait <= 0 {
			r.campaign(ctx, false)
			timeout = r.timeout()
			continue
		}
		select {
		case <-r.cfg.After(wait):
		case <-r.hurry:
			r.campaign(ctx, true)
		case <-ctx.Done():
		}
	}
}

// timeout returns a random election timeout.
func (r *Replicator) timeout() time.Duration {
	return r.cfg.ElectionTimeout + time.Duration(r.cfg.Random()%uint64(r.cfg.ElectionTimeout))
}

// remaining returns the time until an election is due. For a leader it is
// the time until the next check of the quorum.
func (r *Replicator) remaining(timeout time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if r.reign != nil {
		switch {
		case !r.answers(r.members().Voters):
			r.stepDown("no quorum")
		case r.writing && now.Sub(r.began) > 2*r.cfg.ElectionTimeout:
			r.stepDown("slow disk")
		default:
			r.sweep()
		}
		return r.cfg.HeartbeatInterval
	}
	since := r.contact
	if r.tried.After(since) {
		since = r.tried
	}
	return timeout - now.Sub(since)
}

// campaign holds a pre-vote and then an election. An election that the
// leader asked for needs no pre-vote.
func (r *Replicator) campaign(ctx context.Context, transfer bool) {
	r.mu.Lock()
	now := r.cfg.Now()
	r.tried = now
	term, contact := r.ballot.Term, r.contact
	able := r.failed == nil && r.reign == nil && isVoter(r.members(), r.ballot.Member)
	r.mu.Unlock()
	if !able || !transfer && !r.poll(ctx, term+1, true, false) {
		return
	}
	if !r.stand(term, contact, transfer) {
		return
	}
	if r.poll(ctx, term+1, false, transfer) {
		r.lead(term + 1)
	}
}

// stand votes for this member in the term after the given one, unless a
// leader has been heard of in the meantime.
func (r *Replicator) stand(term uint64, contact time.Time, transfer bool) bool {
	r.disk.Lock()
	defer r.disk.Unlock()
	b := r.vote()
	r.mu.Lock()
	stale := b.Term != term || !transfer && r.contact.After(contact)
	r.mu.Unlock()
	if stale {
		return false
	}
	b.Term, b.Vote = term+1, b.Member
	if r.save(b) != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stands = true
	return true
}

// poll asks the voters and returns whether a majority granted.
func (r *Replicator) poll(ctx context.Context, term uint64, probe, transfer bool) bool {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout)
	defer cancel()
	r.mu.Lock()
	self, voters, last := r.ballot.Member, r.members().Voters, r.log.last()
	q := &wire.VoteRequest{Term: term, Candidate: self, Index: last, Last: r.log.term(last), Probe: probe, Transfer: transfer}
	r.mu.Unlock()
	type answer struct {
		voter   string
		granted bool
	}
	answers := make(chan answer, len(voters))
	for _, v := range voters {
		if v == self {
			answers <- answer{v, true}
			continue
		}
		r.group.Go(func() { answers <- answer{v, r.ask(ctx, v, q)} })
	}
	granted := map[string]bool{}
	refused := map[string]bool{}
	for range voters {
		a := <-answers
		granted[a.voter], refused[a.voter] = a.granted, !a.granted
		if quorum(voters, func(v string) bool { return granted[v] }) {
			return true
		}
		if !quorum(voters, func(v string) bool { return !refused[v] }) {
			return false
		}
	}
	return false
}

// ask requests one vote.
func (r *Replicator) ask(ctx context.Context, voter string, q *wire.VoteRequest) bool {
	q = proto.CloneOf(q)
	q.To = voter
	reply, err := r.cfg.Vote(ctx, instance(voter), q)
	if err != nil {
		return false
	}
	if reply.Term > q.Term || q.Probe && reply.Term == q.Term {
		r.adopt(reply.Term)
	}
	return reply.Granted
}

// Vote answers a candidate, and a folder that asks to start or to join.
func (r *Replicator) Vote(_ context.Context, q *wire.VoteRequest) (*wire.VoteReply, error) {
	if q.Disk != "" {
		return r.greet(q)
	}
	r.disk.Lock()
	defer r.disk.Unlock()
	r.mu.Lock()
	b, granted, err := r.weigh(q)
	changed := err == nil && (b.Term != r.ballot.Term || b.Vote != r.ballot.Vote)
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if changed {
		if err := r.save(b); err != nil {
			return nil, err
		}
	}
	if granted && !q.Probe {
		r.mu.Lock()
		r.tried = r.cfg.Now()
		r.mu.Unlock()
	}
	return &wire.VoteReply{Term: b.Term, Granted: granted}, nil
}

// weigh decides on a vote and returns the ballot after it. The caller holds
// disk and mu.
func (r *Replicator) weigh(q *wire.VoteRequest) (*wire.Ballot, bool, error) {
	if err := r.addressed(q.To); err != nil {
		return nil, false, err
	}
	b := proto.CloneOf(r.ballot)
	last := r.log.last()
	current := q.Last > r.log.term(last) || q.Last == r.log.term(last) && q.Index >= last
	// A member that hears a leader keeps its term, so that a member that was
	// away or has been removed can't depose the leader.
	served := r.reign != nil || r.cfg.Now().Sub(r.contact) < r.cfg.ElectionTimeout
	if served && !q.Transfer || q.Term < b.Term {
		return b, false, nil
	}
	if q.Probe {
		return b, current && q.Term > b.Term, nil
	}
	if q.Term > b.Term {
		b.Term, b.Vote = q.Term, ""
	}
	if !current || b.Vote != "" && b.Vote != q.Candidate {
		return b, false, nil
	}
	b.Vote = q.Candidate
	return b, true, nil
}

// addressed checks that this member may answer a message to the given
// identity. The caller holds mu.
func (r *Replicator) addressed(to string) error {
	if r.failed != nil {
		return r.failed
	}
	if !r.ballot.Started {
		return eris.Wrap(fault.Unavailable, "the member has not started")
	}
	if to != r.ballot.Member {
		return eris.Wrapf(fault.Fenced, "this is member %s, not %s", r.ballot.Member, to)
	}
	return nil
}

// stepDown ends the reign, if there is one. The caller holds mu.
func (r *Replicator) stepDown(reason string) {
	r.stands = false
	if r.reign != nil {
		r.cfg.Logger.Info("Leadership ended.", zap.Uint64("term", r.reign.term), zap.String("reason", reason))
		r.reign.cancel()
		r.reign = nil
		r.tried = r.cfg.Now()
	}
	for _, p := range r.queue {
		p.done <- outcome{err: r.isolated()}
	}
	r.queue = nil
	for index, p := range r.waiting {
		p.done <- outcome{err: uncertain(index)}
		delete(r.waiting, index)
	}
	r.notify()
}
