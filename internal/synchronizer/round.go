package synchronizer

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ranker"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// callTimeout limits one call; the leader may have to commit. Core instances
	// answer before it, so that only a broken connection is given up.
	callTimeout = 600 * time.Millisecond
	// roundTimeout limits the calls of one round.
	roundTimeout = 900 * time.Millisecond
	// hedgeDelay is how long an instance may take before the next one is called
	// beside it. Most answers take less than half of it.
	hedgeDelay = 250 * time.Millisecond
	// failedHedgeDelay is the same after a failed round. A core instance that is
	// overloaded refuses before it; calls beside each other would keep the overload
	// going.
	failedHedgeDelay = 500 * time.Millisecond
	// maxRefusals is the number of instances that may refuse in one round. If two
	// know of no leader, the others hardly do.
	maxRefusals = 2
	// preferredTime is how long another core instance than the preferred one is
	// called before that one is tried again.
	preferredTime = 5 * time.Second
	// relaySilence is the silence of the leader after which other entry
	// instances are asked to relay. Asking sooner would multiply the calls to a
	// slow leader.
	relaySilence = 1200 * time.Millisecond
	// relayTime is how long calls go through another entry instance before the
	// leader is called directly again.
	relayTime = 3 * time.Second
)

// round is the calls of one request. Instances are called one after the other: the
// next one when one has failed, or beside it when it takes long.
type round struct {
	s         *Synchronizer
	q         *wire.SyncRequest
	names     []string // to call, in order
	called    map[string]bool
	answers   chan answer
	pending   int
	refusals  int
	lastError error
}

// answer is the reply of one instance.
type answer struct {
	name  string
	reply *wire.SyncReply
	err   error
}

// send makes one request to the first instance that answers it: the one that
// answered last, other core instances, and after a long silence entry instances,
// which may reach core instances that this one can't.
func (s *Synchronizer) send(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	names := s.candidates()
	r := &round{s: s, q: q, names: names, called: map[string]bool{}, answers: make(chan answer, len(names)+maxRefusals), lastError: eris.Wrap(fault.Unavailable, "no core instance is known")}
	for r.next(ctx) {
		hedge := time.NewTimer(s.hedgeAfter())
		select {
		case a := <-r.answers:
			if a.err == nil {
				hedge.Stop()
				return a.reply, nil
			}
			r.add(a)
		case <-hedge.C:
		}
		hedge.Stop()
	}
	for r.pending > 0 {
		a := <-r.answers
		if a.err == nil {
			return a.reply, nil
		}
		r.add(a)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = ""
	s.failures++
	return nil, r.lastError
}

// hedgeAfter returns how long an instance may take before the next one is called.
func (s *Synchronizer) hedgeAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures > 0 {
		return failedHedgeDelay
	}
	return hedgeDelay
}

// next calls the next instance. It returns false if there is none, or if enough
// have refused.
func (r *round) next(ctx context.Context) bool {
	for len(r.names) > 0 && r.refusals < maxRefusals && ctx.Err() == nil {
		name := r.names[0]
		r.names = r.names[1:]
		if r.called[name] {
			continue
		}
		r.called[name] = true
		r.pending++
		go func() {
			a := answer{name: name}
			a.err = r.s.cfg.Recoverer.Do("call core instance", func() (err error) {
				a.reply, err = r.s.call(ctx, name, r.q)
				return err
			}, zap.String("instance", name))
			r.answers <- a
		}()
		return true
	}
	return false
}

// add adds a failed answer. The leader that it names is called next.
func (r *round) add(a answer) {
	r.pending--
	r.lastError = a.err
	if a.reply == nil {
		return
	}
	r.refusals++
	if leader := a.reply.Leader; leader != "" && !r.called[leader] {
		r.names = append([]string{leader}, r.names...)
	}
}

// call calls one instance and records whether it answers.
func (s *Synchronizer) call(ctx context.Context, name string, q *wire.SyncRequest) (*wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent, seeds := s.cfg.Clock(), s.cfg.Seeds()
	reply, err := s.cfg.Peer(name).Sync(ctx, q)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && len(reply.Cores) > 0 {
		s.cores = reply.Cores
	}
	switch {
	case err == nil:
		err = reply.Fault.Err()
	case ctx.Err() != nil:
		err = eris.Wrapf(fault.Unavailable, "%s: %v", name, ctx.Err())
	default:
		err = eris.Wrapf(fault.Unavailable, "%s: %v", name, err)
	}
	if err != nil {
		if s.leader == name {
			s.leader = ""
		}
		return reply, err
	}
	if reply.Leader != "" {
		s.leader = reply.Leader
	}
	if name != s.current || time.Now().After(s.currentUntil) {
		s.current, s.currentUntil = name, time.Now().Add(preferredTime)
		if !s.isCore(name, seeds) {
			s.currentUntil = time.Now().Add(relayTime)
		}
	}
	s.failures = 0
	s.lastContact, s.lastAnswered = time.Now(), max(s.lastAnswered, sent)
	if len(reply.Peers) > 0 {
		s.peers = reply.Peers
	}
	return reply, nil
}

// candidates returns the instances to call, in order. Each instance prefers the core
// instances in an order of its own, which spreads the callers over them.
func (s *Synchronizer) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var cores []string
	for _, name := range slices.Concat(s.cores, s.cfg.Seeds(), []string{s.leader}) {
		if name != "" && name != s.cfg.Address && !slices.Contains(cores, name) {
			cores = append(cores, name)
		}
	}
	cores = rotate(ranker.New(s.cfg.Machine).Order(cores), s.failures*maxRefusals)
	var peers, names []string
	if time.Since(s.lastContact) > relaySilence {
		peers = rotate(s.peers, s.failures)
	}
	if s.current != "" && time.Now().Before(s.currentUntil) {
		names = append(names, s.current)
	}
	for i := range max(len(cores), len(peers)) {
		if i < len(cores) {
			names = append(names, cores[i])
		}
		if i == 0 && s.current != "" {
			names = append(names, s.current)
		}
		if i < len(peers) {
			names = append(names, peers[i])
		}
	}
	return names
}

// rotate returns the list from position n on, counted around.
func rotate(list []string, n int) []string {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return slices.Concat(list[n:], list[:n])
}
