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

// reign is the state of a leader during one term.
type reign struct {
	term   uint64
	first  uint64 // index of the empty entry of the term, 0 until written
	round  uint64 // last round of heartbeats asked for by a Barrier
	peers  map[string]*peer
	heir   string // member that leadership is handed to
	busy   bool   // a membership change is in progress
	ctx    context.Context
	cancel context.CancelFunc
}

// peer is what the leader knows about another member.
type peer struct {
	member  string
	next    uint64    // next entry to send
	match   uint64    // last entry known to be durable there
	round   uint64    // last round answered
	contact time.Time // when the last answered message was sent
	wake    chan struct{}
	cancel  context.CancelFunc
}

// lead starts a reign after a won election.
func (r *Replicator) lead(term uint64) {
	r.disk.Lock()
	defer r.disk.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil || !r.stands || r.ballot.Term != term {
		return
	}
	members, err := proto.Marshal(r.members())
	if err != nil {
		r.cfg.Logger.Error("Members can't be encoded.", zap.Error(err))
		return
	}
	r.cfg.Logger.Info("Leading the log.", zap.String("member", r.ballot.Member), zap.Uint64("term", term))
	ctx, cancel := context.WithCancel(context.Background())
	r.stands, r.leader = false, r.ballot.Member
	r.reign = &reign{term: term, peers: map[string]*peer{}, ctx: ctx, cancel: cancel}
	r.reconcile()
	// The empty entry carries the members, so that a learner that starts from
	// the first entry learns them.
	r.queue = []*proposal{{entry: &wire.Entry{Members: members}, done: make(chan outcome, 1)}}
	signal(r.queued)
	r.notify()
}

// reconcile starts and ends the goroutines of the peers to match the members
// in force. The caller holds mu.
func (r *Replicator) reconcile() {
	if r.reign == nil {
		return
	}
	list := r.members()
	wanted := slices.Clone(list.Voters)
	for _, l := range list.Learners {
		wanted = append(wanted, l.Member)
	}
	for member, p := range r.reign.peers {
		if !slices.Contains(wanted, member) {
			p.cancel()
			delete(r.reign.peers, member)
		}
	}
	for _, member := range wanted {
		if member == r.ballot.Member || r.reign.peers[member] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(r.reign.ctx)
		p := &peer{member: member, next: r.log.last() + 1, contact: r.cfg.Now(), wake: make(chan struct{}, 1), cancel: cancel}
		r.reign.peers[member] = p
		reign := r.reign
		r.group.Go(func() { r.replicate(ctx, reign, p) })
	}
}

// answers tells whether a majority of the voters has answered within one
// election timeout. The caller holds mu and this member leads.
func (r *Replicator) answers(voters []string) bool {
	now := r.cfg.Now()
	return quorum(voters, func(v string) bool {
		p := r.reign.peers[v]
		return v == r.ballot.Member || p != nil && now.Sub(p.contact) < r.cfg.ElectionTimeout
	})
}

// replicate sends entries and heartbeats to one peer.
func (r *Replicator) replicate(ctx context.Context, reign *reign, p *peer) {
	for ctx.Err() == nil {
		more, err := r.exchange(ctx, reign, p)
		switch {
		case err != nil:
			r.pause(ctx, r.cfg.HeartbeatInterval, nil)
		case !more:
			r.pause(ctx, r.cfg.HeartbeatInterval, p.wake)
		}
	}
}

// exchange sends one message and returns whether there is more to send.
func (r *Replicator) exchange(ctx context.Context, reign *reign, p *peer) (bool, error) {
	r.mu.Lock()
	if r.reign != reign {
		r.mu.Unlock()
		return false, nil
	}
	if p.next <= r.log.base {
		r.mu.Unlock()
		return true, r.transmit(ctx, reign, p)
	}
	q := r.message(reign, p)
	sent := r.cfg.Now()
	r.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, r.cfg.ElectionTimeout/2)
	defer cancel()
	reply, err := r.cfg.Append(call, instance(p.member), q)
	if err != nil {
		return false, err
	}
	if reply.Term > q.Term {
		r.adopt(reply.Term)
		return false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reign != reign || reply.Term != q.Term {
		return false, nil
	}
	p.contact = sent
	p.round = max(p.round, reply.Round)
	if !reply.Success && q.Index == p.match && p.match > 0 {
		r.cfg.Logger.Error("Peer lost entries that it acknowledged.", zap.String("peer", p.member), zap.Uint64("index", p.match))
		return false, eris.Wrapf(fault.Broken, "peer %s has lost entry %d", p.member, p.match)
	}
	if reply.Success {
		p.match = max(p.match, reply.Index)
		p.next = p.match + 1
		r.advance()
	} else {
		p.next = max(p.match, min(p.next-1, reply.Index+1)-1) + 1
	}
	r.notify()
	handover := !q.Transfer && r.handsOver(reign, p)
	return handover || p.next <= r.log.last() || p.round < reign.round, nil
}

// message builds the next Append for a peer. The caller holds mu.
func (r *Replicator) message(reign *reign, p *peer) *wire.AppendRequest {
	return &wire.AppendRequest{
		Term: reign.term, Leader: r.ballot.Member, To: p.member,
		Index: p.next - 1, Last: r.log.term(p.next - 1),
		Entries: r.log.from(p.next, r.log.last()),
		Commit:  r.commit, Round: reign.round,
		Transfer: r.handsOver(reign, p),
	}
}

// handsOver tells whether the peer is to stand for election now: every
// proposal has been answered and the peer holds all entries. The caller
// holds mu.
func (r *Replicator) handsOver(reign *reign, p *peer) bool {
	return reign.heir == p.member && p.match == r.log.last() && len(r.queue)+len(r.waiting) == 0
}

// wakePeers makes the peers' goroutines send at once. The caller holds mu.
func (r *Replicator) wakePeers() {
	for _, p := range r.reign.peers {
		signal(p.wake)
	}
}

// advance commits what a majority holds. Entries of earlier terms are
// committed only through one of this term. The caller holds mu.
func (r *Replicator) advance() {
	voters := r.members().Voters
	held := make([]uint64, 0, len(voters))
	for _, v := range voters {
		switch p := r.reign.peers[v]; {
		case v == r.ballot.Member:
			held = append(held, r.log.last())
		case p != nil:
			held = append(held, p.match)
		default:
			held = append(held, 0)
		}
	}
	slices.Sort(held)
	index := held[(len(held)-1)/2]
	if index > r.commit && r.log.term(index) == r.reign.term {
		r.setCommit(index)
	}
}

// Barrier returns once the state includes every proposal that was
// acknowledged before the call. On a member that isn't the leader it fails
// with fault.Isolated.
func (r *Replicator) Barrier(ctx context.Context) error {
	r.mu.Lock()
	reign := r.reign
	if reign == nil {
		defer r.mu.Unlock()
		return r.isolated()
	}
	reign.round++
	round := reign.round
	r.wakePeers()
	r.mu.Unlock()
	var target uint64
	err := r.await(ctx, func() (bool, error) {
		if r.reign != reign {
			return false, r.isolated()
		}
		// Before the empty entry of the term is committed, the commit index
		// may be behind that of an earlier leader.
		if reign.first == 0 || r.commit < reign.first {
			return false, nil
		}
		if target == 0 {
			target = r.commit
		}
		confirmed := quorum(r.members().Voters, func(v string) bool {
			p := reign.peers[v]
			return v == r.ballot.Member || p != nil && p.round >= round
		})
		return confirmed && r.applied >= target, nil
	})
	if err != nil && ctx.Err() != nil {
		return eris.Wrap(fault.Isolated, "barrier: no answer of a majority in time")
	}
	return err
}
