package member

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ticker"
	"github.com/papayapond/papayapond/internal/wire"
)

// checkInterval is the time between two checks of the peers for silence.
const checkInterval = 250 * time.Millisecond

// checkLoop finds silent peers until ctx ends.
func (m *Member) checkLoop(ctx context.Context) {
	ticker.Ticker{Interval: checkInterval}.Run(ctx, func() {
		for _, p := range m.silent() {
			m.probe(ctx, p)
		}
	})
}

// silent marks peers that missed heartbeats as suspect and returns those that
// have been silent for deadAfter and are not fenced yet.
func (m *Member) silent() []*wire.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	var found []*wire.Peer
	for _, p := range m.peers {
		if !p.local || p.info.Incarnation <= p.fenced {
			continue
		}
		age := now.Sub(p.seen)
		if age > suspectAfter && p.info.State == Alive {
			p.info.State = Suspect
		}
		if age > deadAfter {
			found = append(found, p.report(now))
		}
	}
	return found
}

// probe calls a silent peer to tell a dead one and one that is cut off from one
// that sends its heartbeats to another holder. A peer that answers is not
// fenced: its rights may be in use.
func (m *Member) probe(ctx context.Context, found *wire.Peer) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	reply, err := m.cfg.Beat(ctx, found.Name, m.request())
	state := Unreachable
	if m.cfg.Refused(err) {
		state = Dead
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.find(found.Name)
	silence := m.cfg.Now().Sub(p.seen)
	if p.info.Incarnation != found.Incarnation || silence <= deadAfter {
		return
	}
	if err == nil {
		// The peer stays one of this instance until another holder reports it,
		// else nobody would find it dead later.
		p.info.State, p.info.Version = Alive, reply.Version
		p.seen = m.cfg.Now()
		return
	}
	p.info.State = state
	m.fence(p)
}

// fence tells the ledger that the incarnation is dead. A failure is tried
// again at the next check.
func (m *Member) fence(p *peer) {
	if m.cfg.Fence == nil || p.info.Incarnation <= p.fenced {
		return
	}
	if err := m.cfg.Fence(p.info.Name, p.info.Incarnation); err != nil {
		m.cfg.Logger.Error("Fencing failed.", zap.String("peer", p.info.Name), zap.Error(err))
		return
	}
	p.fenced = p.info.Incarnation
	m.cfg.Logger.Warn("Instance is silent. Incarnation fenced.", zap.String("peer", p.info.Name), zap.String("state", p.info.State), zap.Uint64("incarnation", p.info.Incarnation))
}
