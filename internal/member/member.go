package member

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// Interval is the interval between heartbeats.
	Interval = time.Second
	// suspectAfter and deadAfter are durations of silence. Three missed
	// heartbeats is the limit after which a holder frees the allowances of an
	// instance.
	suspectAfter = 1500 * time.Millisecond
	// newPeerReportTime is how long every heartbeat reports a new local peer.
	// The former holder then receives a report newer than its own data by
	// more than suspectAfter and does not consider the peer silent.
	newPeerReportTime = 2 * suspectAfter
	deadAfter         = 3 * time.Second
	// heartbeatTimeout bounds one heartbeat call.
	heartbeatTimeout = 700 * time.Millisecond
	// fullListInterval is the interval between full peer lists sent from one
	// holder to another. In between, only changed peers are sent.
	fullListInterval = 10 * time.Second
	// staleReportAfter is the age at which another holder's report that a
	// peer is alive expires. By then a full list and three heartbeats have
	// been missed.
	staleReportAfter = fullListInterval + deadAfter
)

// States of a peer.
const (
	Alive       = "alive"
	Suspect     = "suspect"
	Unreachable = "cut"      // silent, and a probe times out
	Dead        = "dead"     // silent, and a probe is refused
	Draining    = "draining" // planned shutdown in progress
)

// Config configures a Member.
type Config struct {
	// Self describes this instance. Name, zone, address and public address
	// are set.
	Self *wire.Peer
	// Holder makes this instance track others.
	Holder bool
	// Holders returns the names of all holders, nearest first.
	Holders func() []string
	// Beat sends a heartbeat to the named instance.
	Beat func(ctx context.Context, name string, request *wire.BeatRequest) (*wire.BeatReply, error)
	// Refused reports whether an error from Beat means that nothing listens
	// at the address of the peer.
	Refused func(err error) bool
	// Version returns the version of the configuration in effect on this
	// instance.
	Version func() uint64
	// InFlight returns the number of requests in flight on this instance.
	InFlight func() int
	// Fence is called on a holder when an incarnation is found dead or
	// unreachable, once per incarnation unless it fails.
	Fence func(instance string, incarnation uint64) error
	// Now returns the current time.
	Now func() time.Time
	// Logger receives the log messages of the member.
	Logger *zap.Logger
}

// Member sends heartbeats and tracks peers. It is safe for concurrent use.
type Member struct {
	cfg         Config
	incarnation atomic.Uint64
	draining    atomic.Bool
	skew        atomic.Int64

	mu       sync.Mutex
	peers    map[string]*peer
	reported map[string]*peerReport // by holder
}

// peerReport records what was last sent to another holder.
type peerReport struct {
	lastFull time.Time         // time of the last full list
	versions map[string]uint64 // configuration version by peer
}

type peer struct {
	info     *wire.Peer
	lastSeen time.Time
	fenced   uint64
	// local reports whether the peer sends its heartbeats to this instance,
	// since localSince.
	local      bool
	localSince time.Time
}

// New returns a member with a new incarnation.
func New(cfg Config) *Member {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	m := &Member{cfg: cfg, peers: map[string]*peer{}, reported: map[string]*peerReport{}}
	m.incarnation.Store(uint64(cfg.Now().UnixNano()))
	return m
}

// Holding returns this instance and its current incarnation.
func (m *Member) Holding() *wire.Holding {
	return &wire.Holding{Instance: m.cfg.Self.Name, Incarnation: m.incarnation.Load()}
}

// Drain makes subsequent heartbeats report that this instance is stopping.
func (m *Member) Drain() { m.draining.Store(true) }

// ClockSkew returns the clock of the nearest holder minus the local clock.
func (m *Member) ClockSkew() time.Duration { return time.Duration(m.skew.Load()) }

// Run sends heartbeats and, on a holder, checks peers until ctx ends.
func (m *Member) Run(ctx context.Context) {
	var group sync.WaitGroup
	if m.cfg.Holder {
		for _, name := range m.cfg.Holders() {
			if name != m.cfg.Self.Name {
				group.Go(func() { m.heartbeatLoop(ctx, func() []string { return []string{name} }) })
			}
		}
		group.Go(func() { m.checkLoop(ctx) })
	} else {
		group.Go(func() { m.heartbeatLoop(ctx, m.cfg.Holders) })
	}
	group.Wait()
}

// Beat handles the heartbeat of another instance.
func (m *Member) Beat(_ context.Context, r *wire.BeatRequest) (*wire.BeatReply, error) {
	now := m.cfg.Now()
	reply := &wire.BeatReply{Time: now.UnixNano(), Version: m.cfg.Version()}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.lookUp(r.Instance)
	if r.Incarnation <= p.fenced {
		reply.Fenced = true
		return reply, nil
	}
	if r.Incarnation < p.info.Incarnation {
		return reply, nil
	}
	state := Alive
	if r.Draining {
		state = Draining
	}
	if p.info.Incarnation != r.Incarnation {
		m.cfg.Logger.Info("instance joined", zap.String("peer", r.Instance), zap.String("zone", r.Zone), zap.Uint64("incarnation", r.Incarnation))
	}
	p.info = &wire.Peer{Name: r.Instance, Zone: r.Zone, Incarnation: r.Incarnation, State: state, Version: r.Version, Address: r.Address, Public: r.Public, Flight: r.Flight}
	if !p.local {
		p.localSince = now
	}
	p.lastSeen, p.local = now, true
	for _, other := range r.Peers {
		m.mergeReport(other, now)
	}
	return reply, nil
}

// Peers returns the known state of all instances, including this one, sorted
// by name. Seen is the age of the last heartbeat in nanoseconds.
func (m *Member) Peers() []*wire.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	peers := []*wire.Peer{m.self()}
	for _, p := range m.peers {
		if p.info.Name != m.cfg.Self.Name && p.info.Incarnation != 0 {
			r := p.report(now)
			if !p.local && r.State == Alive && now.Sub(p.lastSeen) > staleReportAfter {
				r.State = Suspect
			}
			peers = append(peers, r)
		}
	}
	slices.SortFunc(peers, func(a, b *wire.Peer) int { return strings.Compare(a.Name, b.Name) })
	return peers
}

func (m *Member) self() *wire.Peer {
	state := Alive
	if m.draining.Load() {
		state = Draining
	}
	s := m.cfg.Self
	return &wire.Peer{Name: s.Name, Zone: s.Zone, Address: s.Address, Public: s.Public, Incarnation: m.incarnation.Load(), State: state, Version: m.cfg.Version(), Flight: uint32(m.cfg.InFlight())}
}

// heartbeatLoop sends a heartbeat to the first of the named holders that
// answers, once per Interval.
func (m *Member) heartbeatLoop(ctx context.Context, names func() []string) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		for _, name := range names() {
			if m.sendHeartbeat(ctx, name) {
				break
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (m *Member) sendHeartbeat(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	request := m.heartbeat()
	if m.cfg.Holder {
		request.Peers = m.changedPeers(name)
	}
	start := m.cfg.Now()
	reply, err := m.cfg.Beat(ctx, name, request)
	if err != nil || reply.Fenced {
		// The peer list was lost, or rejected with the heartbeat. Send a full
		// list next time.
		m.mu.Lock()
		delete(m.reported, name)
		m.mu.Unlock()
	}
	if err != nil {
		return false
	}
	trip := m.cfg.Now().Sub(start)
	m.skew.Store(reply.Time - start.Add(trip/2).UnixNano())
	if reply.Fenced {
		m.renewIncarnation(request.Incarnation)
	}
	return true
}

// heartbeat returns a heartbeat request without peers.
func (m *Member) heartbeat() *wire.BeatRequest {
	self := m.self()
	return &wire.BeatRequest{
		Instance: self.Name, Zone: self.Zone, Incarnation: self.Incarnation, Version: self.Version,
		Time: m.cfg.Now().UnixNano(), Draining: self.State == Draining, Flight: self.Flight, Address: self.Address, Public: self.Public,
	}
}

// renewIncarnation replaces an incarnation that was fenced. Work of the old
// incarnation can no longer be billed.
func (m *Member) renewIncarnation(old uint64) {
	next := max(uint64(m.cfg.Now().UnixNano()), old+1)
	if m.incarnation.CompareAndSwap(old, next) {
		m.cfg.Logger.Warn("incarnation fenced; taking a new one", zap.Uint64("old", old), zap.Uint64("new", next))
	}
}

// changedPeers returns the local peers to report to another holder: all of
// them once per fullListInterval, otherwise those that are new, not alive,
// possibly silent or on a changed configuration version.
func (m *Member) changedPeers(name string) []*wire.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	sent := m.reported[name]
	if sent == nil {
		sent = &peerReport{versions: map[string]uint64{}}
		m.reported[name] = sent
	}
	full := now.Sub(sent.lastFull) >= fullListInterval
	if full {
		sent.lastFull = now
	}
	var peers []*wire.Peer
	for _, p := range m.peers {
		if !p.local {
			continue
		}
		if full || now.Sub(p.localSince) < newPeerReportTime || p.info.State != Alive || now.Sub(p.lastSeen) > suspectAfter || sent.versions[p.info.Name] != p.info.Version {
			sent.versions[p.info.Name] = p.info.Version
			peers = append(peers, p.report(now))
		}
	}
	return peers
}

// mergeReport applies the report of another holder about one of its local
// peers.
func (m *Member) mergeReport(r *wire.Peer, now time.Time) {
	p := m.lookUp(r.Name)
	if r.Name == m.cfg.Self.Name || r.Incarnation < p.info.Incarnation || r.Incarnation <= p.fenced {
		return
	}
	seen := now.Add(-time.Duration(r.Seen))
	// Two holders may hear from a peer at nearly the same time. Without a
	// margin each could take the report of the other as newer, and neither
	// would probe and fence the peer once it is silent. A peer reported as
	// dead has already been fenced.
	margin := suspectAfter
	if isDown(r.State) {
		margin = 0
	}
	if p.local && p.info.Incarnation == r.Incarnation && p.lastSeen.Add(margin).After(seen) {
		return
	}
	p.info, _ = proto.Clone(r).(*wire.Peer)
	p.lastSeen, p.local = seen, false
	if isDown(r.State) {
		m.fence(p)
	}
}

func (m *Member) lookUp(name string) *peer {
	p := m.peers[name]
	if p == nil {
		p = &peer{info: &wire.Peer{Name: name}}
		m.peers[name] = p
	}
	return p
}

func (p *peer) report(now time.Time) *wire.Peer {
	r, _ := proto.Clone(p.info).(*wire.Peer)
	r.Seen = now.Sub(p.lastSeen).Nanoseconds()
	return r
}

func isDown(state string) bool { return state == Dead || state == Unreachable }
