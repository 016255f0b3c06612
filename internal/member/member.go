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
	// Interval is the time between two heartbeats.
	Interval = time.Second
	// suspectAfter and deadAfter are times of silence. Three missed heartbeats
	// are the bound after which a holder frees the allowances of an instance.
	suspectAfter = 1500 * time.Millisecond
	// adoptTime is how long each heartbeat reports a new local peer, so that its
	// former holder gets a report that is later than its own news by more than
	// suspectAfter and doesn't take the peer for silent.
	adoptTime = 2 * suspectAfter
	deadAfter = 3 * time.Second
	// beatTimeout bounds one heartbeat call.
	beatTimeout = 700 * time.Millisecond
	// fullInterval is the time between two full lists of peers from a holder
	// to another; in between only changed peers are sent.
	fullInterval = 10 * time.Second
	// unheardAfter is the age after which the report of another holder that a
	// peer is alive no longer counts: a full list and three heartbeats were
	// missed.
	unheardAfter = fullInterval + deadAfter
)

// States of a peer.
const (
	Alive       = "alive"
	Suspect     = "suspect"
	Unreachable = "cut"      // silent, and a probe times out
	Dead        = "dead"     // silent, and a probe is refused
	Draining    = "draining" // stopping as planned
)

// Config configures a Member.
type Config struct {
	// Self is this instance: name, zone, address and public are set.
	Self *wire.Peer
	// Holder tells that this instance tracks others.
	Holder bool
	// Holders are the names of all holders, the nearest first.
	Holders func() []string
	// Beat sends a heartbeat to an instance.
	Beat func(ctx context.Context, name string, request *wire.BeatRequest) (*wire.BeatReply, error)
	// Refused tells whether an error of Beat means that nothing listens at
	// the address of the peer.
	Refused func(err error) bool
	// Version returns the version of the configuration in force here.
	Version func() uint64
	// InFlight returns the number of requests in flight here.
	InFlight func() int
	// Fence is called on a holder when an incarnation is found dead, and
	// again for later incarnations.
	Fence func(instance string, incarnation uint64) error
	// Now returns the current time.
	Now func() time.Time
	// Logger takes the log of this part.
	Logger *zap.Logger
}

// Member sends heartbeats and tracks peers. It is safe for concurrent use.
type Member struct {
	cfg         Config
	incarnation atomic.Uint64
	draining    atomic.Bool
	skew        atomic.Int64

	mu    sync.Mutex
	peers map[string]*peer
	sent  map[string]*sending // by holder
}

// sending is what another holder has been told.
type sending struct {
	full     time.Time         // last full list
	versions map[string]uint64 // version by peer
}

type peer struct {
	info   *wire.Peer
	seen   time.Time
	fenced uint64
	// local tells that the peer sends its heartbeats to this instance, since
	// the time when it began to.
	local bool
	since time.Time
}

// New returns a member with a fresh incarnation.
func New(cfg Config) *Member {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	m := &Member{cfg: cfg, peers: map[string]*peer{}, sent: map[string]*sending{}}
	m.incarnation.Store(uint64(cfg.Now().UnixNano()))
	return m
}

// Holding returns this instance with its present incarnation.
func (m *Member) Holding() *wire.Holding {
	return &wire.Holding{Instance: m.cfg.Self.Name, Incarnation: m.incarnation.Load()}
}

// Drain makes the following heartbeats say that this instance is stopping.
func (m *Member) Drain() { m.draining.Store(true) }

// ClockSkew returns the clock of the nearest holder minus the clock here.
func (m *Member) ClockSkew() time.Duration { return time.Duration(m.skew.Load()) }

// Run sends heartbeats, and on a holder checks its peers, until ctx ends.
func (m *Member) Run(ctx context.Context) {
	var group sync.WaitGroup
	if m.cfg.Holder {
		for _, name := range m.cfg.Holders() {
			if name != m.cfg.Self.Name {
				group.Go(func() { m.beatLoop(ctx, func() []string { return []string{name} }) })
			}
		}
		group.Go(func() { m.checkLoop(ctx) })
	} else {
		group.Go(func() { m.beatLoop(ctx, m.cfg.Holders) })
	}
	group.Wait()
}

// Beat takes the heartbeat of another instance.
func (m *Member) Beat(_ context.Context, r *wire.BeatRequest) (*wire.BeatReply, error) {
	now := m.cfg.Now()
	reply := &wire.BeatReply{Time: now.UnixNano(), Version: m.cfg.Version()}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.find(r.Instance)
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
		m.cfg.Logger.Info("Instance joined.", zap.String("peer", r.Instance), zap.String("zone", r.Zone), zap.Uint64("incarnation", r.Incarnation))
	}
	p.info = &wire.Peer{Name: r.Instance, Zone: r.Zone, Incarnation: r.Incarnation, State: state, Version: r.Version, Address: r.Address, Public: r.Public, Flight: r.Flight}
	if !p.local {
		p.since = now
	}
	p.seen, p.local = now, true
	for _, other := range r.Peers {
		m.merge(other, now)
	}
	return reply, nil
}

// Peers returns what is known of all instances, sorted by name, this one
// included. The field Seen holds the age of the last heartbeat in nanoseconds.
func (m *Member) Peers() []*wire.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	peers := []*wire.Peer{m.self()}
	for _, p := range m.peers {
		if p.info.Name != m.cfg.Self.Name && p.info.Incarnation != 0 {
			r := p.report(now)
			if !p.local && r.State == Alive && now.Sub(p.seen) > unheardAfter {
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

// beatLoop sends a heartbeat to the first of the named holders that answers,
// once per interval.
func (m *Member) beatLoop(ctx context.Context, names func() []string) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		for _, name := range names() {
			if m.beat(ctx, name) {
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

func (m *Member) beat(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	request := m.request()
	if m.cfg.Holder {
		request.Peers = m.changedPeers(name)
	}
	start := m.cfg.Now()
	reply, err := m.cfg.Beat(ctx, name, request)
	if err != nil || reply.Fenced {
		// The list of peers didn't arrive, or was refused with the heartbeat:
		// the next one is a full list.
		m.mu.Lock()
		delete(m.sent, name)
		m.mu.Unlock()
	}
	if err != nil {
		return false
	}
	trip := m.cfg.Now().Sub(start)
	m.skew.Store(reply.Time - start.Add(trip/2).UnixNano())
	if reply.Fenced {
		m.renew(request.Incarnation)
	}
	return true
}

// request returns a heartbeat without peers.
func (m *Member) request() *wire.BeatRequest {
	self := m.self()
	return &wire.BeatRequest{
		Instance: self.Name, Zone: self.Zone, Incarnation: self.Incarnation, Version: self.Version,
		Time: m.cfg.Now().UnixNano(), Draining: self.State == Draining, Flight: self.Flight, Address: self.Address, Public: self.Public,
	}
}

// renew takes a new incarnation after the old one has been fenced. Work of the
// old incarnation can't be billed any more.
func (m *Member) renew(old uint64) {
	next := max(uint64(m.cfg.Now().UnixNano()), old+1)
	if m.incarnation.CompareAndSwap(old, next) {
		m.cfg.Logger.Warn("Incarnation was fenced. Taking a new one.", zap.Uint64("old", old), zap.Uint64("new", next))
	}
}

// changedPeers returns the local peers to report to another holder: all of
// them once per fullInterval, else those that are not plainly alive or have
// another version of the configuration.
func (m *Member) changedPeers(name string) []*wire.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	sent := m.sent[name]
	if sent == nil {
		sent = &sending{versions: map[string]uint64{}}
		m.sent[name] = sent
	}
	full := now.Sub(sent.full) >= fullInterval
	if full {
		sent.full = now
	}
	var peers []*wire.Peer
	for _, p := range m.peers {
		if !p.local {
			continue
		}
		if full || now.Sub(p.since) < adoptTime || p.info.State != Alive || now.Sub(p.seen) > suspectAfter || sent.versions[p.info.Name] != p.info.Version {
			sent.versions[p.info.Name] = p.info.Version
			peers = append(peers, p.report(now))
		}
	}
	return peers
}

// merge takes the report of another holder about a peer of its own.
func (m *Member) merge(r *wire.Peer, now time.Time) {
	p := m.find(r.Name)
	if r.Name == m.cfg.Self.Name || r.Incarnation < p.info.Incarnation || r.Incarnation <= p.fenced {
		return
	}
	seen := now.Add(-time.Duration(r.Seen))
	// Two holders hear a peer at nearly the same time. Without the margin each
	// could take the other's report for the later one, and neither would probe
	// and fence the peer once it is silent. One that is reported as dead has been
	// fenced.
	margin := suspectAfter
	if isDead(r.State) {
		margin = 0
	}
	if p.local && p.info.Incarnation == r.Incarnation && p.seen.Add(margin).After(seen) {
		return
	}
	p.info, _ = proto.Clone(r).(*wire.Peer)
	p.seen, p.local = seen, false
	if isDead(r.State) {
		m.fence(p)
	}
}

func (m *Member) find(name string) *peer {
	p := m.peers[name]
	if p == nil {
		p = &peer{info: &wire.Peer{Name: name}}
		m.peers[name] = p
	}
	return p
}

func (p *peer) report(now time.Time) *wire.Peer {
	r, _ := proto.Clone(p.info).(*wire.Peer)
	r.Seen = now.Sub(p.seen).Nanoseconds()
	return r
}

func isDead(state string) bool { return state == Dead || state == Unreachable }
