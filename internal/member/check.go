package member

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ticker"
	"github.com/papayapond/papayapond/internal/wire"
)

// checkInterval is the interval between checks for silent peers.
const checkInterval = 250 * time.Millisecond

// checkLoop probes silent peers until ctx ends.
func (m *Member) checkLoop(ctx context.Context) {
	ticker.Ticker{Interval: checkInterval}.Run(ctx, func() {
		for _, p := range m.silentPeers() {
			m.probe(ctx, p)
		}
	})
}

// silentPeers marks peers that missed heartbeats as suspect and returns those
// that have been silent for deadAfter and are not fenced yet.
func (m *Member) silentPeers() []*wire.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	var list []*wire.Peer
	for _, p := range m.peers {
		if !p.local || p.info.Incarnation <= p.fenced {
			continue
		}
		age := now.Sub(p.lastSeen)
		if age > suspectAfter && p.info.State == Alive {
			p.info.State = Suspect
		}
		if age > deadAfter {
			list = append(list, p.report(now))
		}
	}
	return list
}

// probe calls a silent peer to tell a dead or unreachable peer from one that
// sends its heartbeats to another holder. A peer that answers is not fenced,
// because its allowances may be in use.
func (m *Member) probe(ctx context.Context, silent *wire.Peer) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := m.cfg.Beat(ctx, silent.Name, m.heartbeat())
	state := Unreachable
	if m.cfg.Refused(err) {
		state = Dead
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.lookUp(silent.Name)
	silence := m.cfg.Now().Sub(p.lastSeen)
	if p.info.Incarnation != silent.Incarnation || silence <= deadAfter {
		return
	}
	if err == nil {
		// The peer stays local until another holder reports it. Otherwise no
		// holder would detect a later failure.
		p.info.State, p.info.Version = Alive, reply.Version
		p.lastSeen = m.cfg.Now()
		return
	}
	p.info.State = state
	m.fence(p)
}

// fence marks the incarnation as dead in the ledger. A failed call is retried
// at the next check.
func (m *Member) fence(p *peer) {
	if m.cfg.Fence == nil || p.info.Incarnation <= p.fenced {
		return
	}
	if err := m.cfg.Fence(p.info.Name, p.info.Incarnation); err != nil {
		m.cfg.Logger.Error("failed to fence incarnation", zap.String("peer", p.info.Name), zap.Error(err))
		return
	}
	p.fenced = p.info.Incarnation
	m.cfg.Logger.Warn("silent instance fenced", zap.String("peer", p.info.Name), zap.String("state", p.info.State), zap.Uint64("incarnation", p.info.Incarnation))
}
