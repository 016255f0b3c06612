package replicator

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// leaderState is the state of a leader during one term.
type leaderState struct {
	term       uint64
	firstIndex uint64 // index of the empty entry of the term, 0 until written
	readRound  uint64 // last heartbeat round requested by Barrier
	peers      map[string]*peer
	transferee string // member that leadership is being transferred to
	changing   bool   // a membership change is in progress
	ctx        context.Context
	cancel     context.CancelFunc
}

// peer is the replication state of another member, as tracked by the leader.
type peer struct {
	member      string
	nextIndex   uint64    // next entry to send
	matchIndex  uint64    // last entry known to be durable on the peer
	readRound   uint64    // last heartbeat round acknowledged
	lastContact time.Time // send time of the last message that was answered
	silentSince time.Time // since when the member has not been heard of, by this leader or the one before
	unreachable bool      // logged as such
	wake        chan struct{}
	cancel      context.CancelFunc
}

// becomeLeader starts leadership after a won election.
func (r *Replicator) becomeLeader(term uint64) {
	r.lockDisk()
	defer r.unlockDisk()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil || !r.candidate || r.ballot.Term != term {
		return
	}
	members, err := proto.Marshal(r.members())
	if err != nil {
		r.cfg.Logger.Error("failed to encode members", zap.Error(err))
		return
	}
	r.cfg.Logger.Info("became leader", zap.String("member", r.ballot.Member), zap.Uint64("term", term))
	ctx, cancel := context.WithCancel(context.Background())
	r.candidate, r.leader = false, r.ballot.Member
	r.leading = &leaderState{term: term, peers: map[string]*peer{}, ctx: ctx, cancel: cancel}
	r.reconcilePeers()
	r.previousLeader = ""
	// The empty entry carries the members, so a learner that starts from the
	// first entry knows them.
	r.queue = []*proposal{{entry: &wire.Entry{Members: members}, done: make(chan outcome, 1)}}
	signal(r.queued)
	r.notify()
}

// reconcilePeers starts and stops the replication goroutines to match the
// current members. The caller holds mu.
func (r *Replicator) reconcilePeers() {
	if r.leading == nil {
		return
	}
	list := r.members()
	wanted := slices.Clone(list.Voters)
	for _, l := range list.Learners {
		wanted = append(wanted, l.Member)
	}
	for member, p := range r.leading.peers {
		if !slices.Contains(wanted, member) {
			p.cancel()
			delete(r.leading.peers, member)
		}
	}
	for _, member := range wanted {
		if member == r.ballot.Member || r.leading.peers[member] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(r.leading.ctx)
		now := r.cfg.Now()
		p := &peer{member: member, nextIndex: r.log.last() + 1, lastContact: now, silentSince: now, wake: make(chan struct{}, 1), cancel: cancel}
		if member == r.previousLeader {
			// It has been silent since before the election. Without that time a
			// lost leader would be replaced later than other voters.
			p.silentSince = r.lastContact
		}
		r.leading.peers[member] = p
		ls := r.leading
		r.group.Go(func() { r.replicate(ctx, ls, p) })
	}
}

// quorumActive reports whether a majority of voters has answered within the
// election timeout. The caller holds mu, and this member leads.
func (r *Replicator) quorumActive(voters []string) bool {
	now := r.cfg.Now()
	return hasMajority(voters, func(v string) bool {
		p := r.leading.peers[v]
		return v == r.ballot.Member || p != nil && now.Sub(p.lastContact) < r.cfg.ElectionTimeout
	})
}

// replicate sends entries and heartbeats to p until ctx ends.
func (r *Replicator) replicate(ctx context.Context, ls *leaderState, p *peer) {
	for ctx.Err() == nil {
		more, err := r.sendAppend(ctx, ls, p)
		r.logReachability(ls, p, err)
		switch {
		case err != nil:
			r.pause(ctx, r.cfg.HeartbeatInterval, nil)
		case !more:
			r.pause(ctx, r.cfg.HeartbeatInterval, p.wake)
		}
	}
}

// logReachability logs that p has not answered for an election timeout, and
// that it answers again.
func (r *Replicator) logReachability(ls *leaderState, p *peer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	silence := r.cfg.Now().Sub(p.lastContact)
	switch {
	case r.leading != ls:
	case err != nil && !p.unreachable && silence > r.cfg.ElectionTimeout:
		p.unreachable = true
		r.cfg.Logger.Warn("peer unreachable", zap.String("peer", p.member), zap.Duration("silence", silence), zap.Uint64("index", p.matchIndex), zap.Error(err))
	case err == nil && p.unreachable:
		p.unreachable = false
		r.cfg.Logger.Info("peer reachable again", zap.String("peer", p.member), zap.Uint64("index", p.matchIndex))
	}
}

// sendAppend sends one message to p and reports whether there is more to
// send.
func (r *Replicator) sendAppend(ctx context.Context, ls *leaderState, p *peer) (bool, error) {
	r.mu.Lock()
	if r.leading != ls {
		r.mu.Unlock()
		return false, nil
	}
	if p.nextIndex <= r.log.baseIndex {
		r.mu.Unlock()
		return true, r.sendSnapshot(ctx, ls, p)
	}
	q := r.appendRequest(ls, p)
	sentAt := r.cfg.Now()
	r.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout/2)
	defer cancel()
	reply, err := r.cfg.Append(callCtx, instance(p.member), q)
	if err != nil {
		return false, err
	}
	if reply.Term > q.Term {
		r.adoptTerm(reply.Term)
		return false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leading != ls || reply.Term != q.Term {
		return false, nil
	}
	p.lastContact, p.silentSince = sentAt, sentAt
	p.readRound = max(p.readRound, reply.Round)
	if !reply.Success && q.Index == p.matchIndex && p.matchIndex > 0 {
		r.cfg.Logger.Error("peer lost acknowledged entries", zap.String("peer", p.member), zap.Uint64("index", p.matchIndex))
		return false, eris.Wrapf(fault.Broken, "peer %s lost acknowledged entry %d", p.member, p.matchIndex)
	}
	if reply.Success {
		p.matchIndex = max(p.matchIndex, reply.Index)
		p.nextIndex = p.matchIndex + 1
		r.advanceCommit()
	} else {
		p.nextIndex = max(p.matchIndex, min(p.nextIndex-1, reply.Index+1)-1) + 1
	}
	r.notify()
	transferNow := !q.Transfer && r.transferReady(ls, p)
	return transferNow || p.nextIndex <= r.log.last() || p.readRound < ls.readRound, nil
}

// appendRequest builds the next Append request for p. The caller holds mu.
func (r *Replicator) appendRequest(ls *leaderState, p *peer) *wire.AppendRequest {
	return &wire.AppendRequest{
		Term: ls.term, Leader: r.ballot.Member, To: p.member,
		Index: p.nextIndex - 1, Last: r.log.term(p.nextIndex - 1),
		Entries: r.log.from(p.nextIndex, r.log.last()),
		Commit:  r.commit, Round: ls.readRound,
		Transfer: r.transferReady(ls, p),
	}
}

// transferReady reports whether p should campaign now to take over
// leadership: it holds all entries, and no proposal is outstanding. The
// caller holds mu.
func (r *Replicator) transferReady(ls *leaderState, p *peer) bool {
	return ls.transferee == p.member && p.matchIndex == r.log.last() && len(r.queue)+len(r.waiting) == 0
}

// wakePeers makes the replication goroutines send immediately. The caller
// holds mu.
func (r *Replicator) wakePeers() {
	for _, p := range r.leading.peers {
		signal(p.wake)
	}
}

// advanceCommit commits the entries that a majority holds. Entries of earlier
// terms are committed only through an entry of the current term. The caller
// holds mu.
func (r *Replicator) advanceCommit() {
	voters := r.members().Voters
	matched := make([]uint64, 0, len(voters))
	for _, v := range voters {
		switch p := r.leading.peers[v]; {
		case v == r.ballot.Member:
			matched = append(matched, r.log.last())
		case p != nil:
			matched = append(matched, p.matchIndex)
		default:
			matched = append(matched, 0)
		}
	}
	slices.Sort(matched)
	index := matched[(len(matched)-1)/2]
	if index > r.commit && r.log.term(index) == r.leading.term {
		r.setCommit(index)
	}
}

// Barrier blocks until the applied state includes every proposal acknowledged
// before the call. It fails with fault.Isolated if this member is not the
// leader.
func (r *Replicator) Barrier(ctx context.Context) error {
	r.mu.Lock()
	ls := r.leading
	if ls == nil {
		defer r.mu.Unlock()
		return r.notLeaderError()
	}
	ls.readRound++
	round := ls.readRound
	r.wakePeers()
	r.mu.Unlock()
	var readIndex uint64
	err := r.await(ctx, func() (bool, error) {
		if r.leading != ls {
			return false, r.notLeaderError()
		}
		// Until the empty entry of the term is committed, the commit index
		// may lag behind that of an earlier leader.
		if ls.firstIndex == 0 || r.commit < ls.firstIndex {
			return false, nil
		}
		if readIndex == 0 {
			readIndex = r.commit
		}
		confirmed := hasMajority(r.members().Voters, func(v string) bool {
			p := ls.peers[v]
			return v == r.ballot.Member || p != nil && p.readRound >= round
		})
		return confirmed && r.applied >= readIndex, nil
	})
	if err != nil && ctx.Err() != nil {
		return eris.Wrap(fault.Isolated, "barrier: no majority answered before the deadline")
	}
	return err
}
