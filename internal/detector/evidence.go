package detector

import (
	"slices"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// Answer merges the evidence of a peer and returns what the peer doesn't hold. It
// returns nil for nil, which peers without a detector send.
func (d *Detector) Answer(q *wire.Evidence) *wire.Evidence {
	if q == nil {
		return nil
	}
	held := uint64(0)
	if q.Peer == d.id {
		held = q.Held
	}
	reply := d.since(held)
	d.merge(q)
	return reply
}

// since returns the facts with higher numbers.
func (d *Detector) since(number uint64) *wire.Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	e := &wire.Evidence{Source: d.id, Version: d.version}
	if number >= d.version {
		return e
	}
	for _, c := range d.crashes {
		if c.version <= number {
			continue
		}
		if len(e.Crashes) == maxSent {
			// The rest follows with the next exchanges.
			e.Version = c.version - 1
			break
		}
		e.Crashes = append(e.Crashes, &wire.Crash{Id: c.id, Target: c.target, Keys: c.keys, Started: c.started, Age: age(c.at, now)})
	}
	for key, c := range d.cleared {
		if c.version > number && c.version <= e.Version {
			e.Clearances = append(e.Clearances, &wire.Clearance{Key: key, Age: age(c.at, now)})
		}
	}
	// Blocks never wait.
	for _, b := range d.blocks {
		if b.version > number {
			e.Blocks = append(e.Blocks, &wire.Block{
				Keys: b.keys, Targets: slices.Clone(b.targets), Age: age(b.lastCrash, now), Idle: age(b.lastSeen, now), Tried: b.tried,
			})
		}
	}
	return e
}

// merge adds the facts of a peer.
func (d *Detector) merge(e *wire.Evidence) { d.announce(d.addFacts(e)) }

// addFacts adds the facts of a peer and returns the blocks that are new.
func (d *Detector) addFacts(e *wire.Evidence) (added []*block) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	// Once many are held, those of keys that aren't suspected here are left out: what
	// one instance dropped would come back from the others without end.
	for _, c := range e.Clearances {
		if at := before(now, c.Age); now.Sub(at) <= answerMemory && (len(d.cleared) < maxCleared/2 || d.isSuspect(c.Key)) {
			d.setCleared(c.Key, at)
		}
	}
	changed := false
	for _, c := range e.Crashes {
		n := &crash{id: c.Id, target: c.Target, keys: c.Keys, started: c.Started, at: before(now, c.Age)}
		changed = d.addCrash(n) && d.isTelling(n) || changed
	}
	for _, b := range e.Blocks {
		if b := d.mergeBlock(b, now); b != nil {
			added = append(added, b)
		}
	}
	d.outdated = d.outdated || changed
	return append(added, d.evaluateIfDue()...)
}

// mergeBlock adds the block of a peer, without the keys that were cleared here, and
// returns it if it is new. The caller holds mu.
func (d *Detector) mergeBlock(q *wire.Block, now time.Time) *block {
	var keys []string
	for _, key := range q.Keys {
		if at, ok := d.lastAnswer(key, now); ok {
			d.setCleared(key, at) // tells the peer
		}
		if !d.isCleared(key, now) {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 || now.Sub(before(now, q.Idle)) > Retention {
		return nil
	}
	slices.Sort(keys)
	i := slices.IndexFunc(d.blocks, func(b *block) bool { return slices.Equal(b.keys, keys) })
	isNew := i < 0
	if isNew && d.isCovered(keys) {
		return nil
	}
	if isNew {
		d.addBlock(&block{keys: keys, lastCrash: before(now, q.Age), lastSeen: before(now, q.Idle), version: d.nextVersion()})
		i = len(d.blocks) - 1
	}
	b := d.blocks[i]
	for _, target := range q.Targets {
		d.addTarget(b, target, before(now, q.Age))
	}
	if seen := before(now, q.Idle); seen.After(b.lastSeen) {
		b.lastSeen = seen
	}
	b.told = b.lastSeen
	if q.Tried && !b.tried {
		b.tried, b.version = true, d.nextVersion()
	}
	if !isNew {
		return nil
	}
	return b
}

// age returns the time since at in ms.
func age(at, now time.Time) int64 { return max(now.Sub(at).Milliseconds(), 0) }

// before returns the time a number of ms ago.
func before(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond)
}

// Session exchanges evidence with one peer, or with one after the other. It isn't
// safe for concurrent use.
type Session struct {
	d     *Detector
	peer  uint64 // identity of the peer's numbers
	held  uint64 // number of the peer's newest fact that is held here
	acked uint64 // number of the newest own fact that the peer holds
}

// NewSession returns a session that begins with all facts.
func (d *Detector) NewSession() *Session { return &Session{d: d} }

// Request returns what the peer doesn't hold.
func (s *Session) Request() *wire.Evidence {
	q := s.d.since(s.acked)
	q.Peer, q.Held = s.peer, s.held
	return q
}

// Apply merges the reply to a request. If another peer has answered than before,
// the next request has all facts.
func (s *Session) Apply(q, reply *wire.Evidence) {
	if q == nil || reply == nil {
		return
	}
	if complete := s.acked == 0; complete || reply.Source == s.peer {
		s.acked = q.Version
	} else {
		s.acked = 0
	}
	s.peer, s.held = reply.Source, reply.Version
	s.d.merge(reply)
}
