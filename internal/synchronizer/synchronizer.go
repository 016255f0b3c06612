package synchronizer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// defaultInterval is the pause between two calls. It bounds how long a
	// change takes to arrive, and the age of the loads of other instances.
	defaultInterval = 200 * time.Millisecond
	// manyEntries is the number of entry instances above which they call less
	// often, to bound the load on the leader.
	manyEntries = 25
	// maxInterval limits the pause in large fleets.
	maxInterval = 500 * time.Millisecond
	// callTimeout limits one call; the leader may have to commit.
	callTimeout = 600 * time.Millisecond
	// relaySilence is the silence of the leader after which other entry
	// instances are asked to relay. Asking sooner would multiply the calls to a
	// slow leader.
	relaySilence = 1200 * time.Millisecond
	// relayTime is how long calls go through another entry instance before the
	// leader is called directly again.
	relayTime = 3 * time.Second
	// maxRelayContactAge is the time since the last answer of the leader after
	// which calls of other entry instances are no longer relayed.
	maxRelayContactAge = time.Second
	// minPause is the shortest pause between two calls.
	minPause = 10 * time.Millisecond
)

// Config configures a Synchronizer.
type Config struct {
	// Instance is the name of this incarnation, Machine the name that all
	// incarnations share, and Zone the zone.
	Instance, Machine, Zone string
	// Address is where other entry instances reach this one.
	Address string
	// Boot identifies the boot of the machine; "" if unknown.
	Boot string
	// Clock returns the time since boot, including the time during which the
	// machine was suspended.
	Clock func() time.Duration
	// Seeds returns the core instances from the settings.
	Seeds func() []string
	// Peer returns a client for the named core instance.
	Peer func(name string) wire.DRPCSteeringClient
	// Allowances, Loads, Evidence and TargetLimits return what to report.
	Allowances   func() []*wire.Allowance
	Loads        func() []*wire.Load
	Evidence     func() *wire.Evidence
	TargetLimits func() []*wire.TargetLimit
	// Origins, if not nil, returns which versions began streams.
	Origins func() []*wire.Origins
	// OnRuleset is called with each ruleset of a higher version.
	OnRuleset func(*ruleset.Ruleset)
	// OnReply is called with each reply and its request.
	OnReply func(*wire.SyncRequest, *wire.SyncReply)
	// Interval is the pause between two calls; 0 selects the default.
	Interval time.Duration
	Logger   *zap.Logger
}

// Synchronizer calls the leader periodically. It is safe for concurrent use.
type Synchronizer struct {
	cfg     Config
	trigger chan struct{}

	mu           sync.Mutex
	sequence     uint64
	version      uint64
	roster       uint64
	fleet        uint64 // digest of the member list held
	leader       string
	cores        []string
	peers        []string // entry instances
	relay        string   // entry instance that relays calls to the leader
	relayUntil   time.Time
	lastContact  time.Time     // last successful call
	started      time.Duration // by the boot clock
	lastAnswered time.Duration // when the last answered request was sent
	unreachable  bool
	entries      int // entry instances in contact
}

// New returns a synchronizer that knows only the settings.
func New(cfg Config) *Synchronizer {
	if cfg.Interval == 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Origins == nil {
		cfg.Origins = func() []*wire.Origins { return nil }
	}
	s := &Synchronizer{cfg: cfg, trigger: make(chan struct{}, 1), started: cfg.Clock()}
	s.lastAnswered = s.started
	return s
}

// SinceContact returns the time since the last answered request was sent, by
// the boot clock.
func (s *Synchronizer) SinceContact() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Clock() - s.lastAnswered
}

// Cores returns the core instances, the leader first if it is known.
func (s *Synchronizer) Cores() []string {
	s.mu.Lock()
	known := append([]string{s.leader}, s.cores...)
	s.mu.Unlock()
	var names []string
	for _, name := range append(known, s.cfg.Seeds()...) {
		if name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// Trigger makes the next call happen without waiting for the interval.
func (s *Synchronizer) Trigger() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// Version returns the version of the ruleset held, or 0.
func (s *Synchronizer) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Run calls the leader until ctx ends.
func (s *Synchronizer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		if err := s.round(ctx); err != nil && ctx.Err() == nil {
			s.markUnreachable(err)
		}
		interval := s.interval()
		pause := time.NewTimer(interval - min(time.Since(started), interval-minPause))
		select {
		case <-ctx.Done():
		case <-pause.C:
		case <-s.trigger:
			short := time.NewTimer(minPause)
			select {
			case <-short.C:
			case <-ctx.Done():
			}
			short.Stop()
		}
		pause.Stop()
	}
}

// interval returns the pause between two calls, depending on the size of the
// fleet.
func (s *Synchronizer) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.cfg.Interval, min(s.cfg.Interval*time.Duration(s.entries)/manyEntries, maxInterval))
}

// markUnreachable logs the first failure after a successful call.
func (s *Synchronizer) markUnreachable(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unreachable {
		s.unreachable = true
		s.cfg.Logger.Warn("core instances unreachable", zap.Error(err), zap.Duration("contact", time.Since(s.lastContact)), zap.Uint64("version", s.version))
	}
}

// Close reports the final allowances to the leader. The incarnation spends
// nothing after it.
func (s *Synchronizer) Close(ctx context.Context, last []*wire.Allowance) error {
	q := s.request()
	q.Allowances, q.Closing, q.Origins = last, true, s.cfg.Origins()
	_, err := s.send(ctx, q)
	return err
}

// request builds the next request.
func (s *Synchronizer) request() *wire.SyncRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return &wire.SyncRequest{
		Instance: s.cfg.Instance, Zone: s.cfg.Zone, Sequence: s.sequence, Version: s.version, Roster: s.roster, Fleet: s.fleet, Address: s.cfg.Address,
		Tenure: &wire.Tenure{Machine: s.cfg.Machine, Boot: s.cfg.Boot, Started: s.started.Nanoseconds(), Answered: s.lastAnswered.Nanoseconds()},
	}
}

// round makes one call and applies the reply.
func (s *Synchronizer) round(ctx context.Context) error {
	q := s.request()
	q.Allowances, q.Loads, q.Evidence, q.TargetLimits = s.cfg.Allowances(), s.cfg.Loads(), s.cfg.Evidence(), s.cfg.TargetLimits()
	q.Origins = s.cfg.Origins()
	reply, err := s.send(ctx, q)
	if err != nil {
		return err
	}
	return s.apply(q, reply)
}

// send calls the leader if it is known. If that fails, it calls all other core
// instances concurrently, and after a long silence also some entry instances,
// which may reach the leader when this one can't.
func (s *Synchronizer) send(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	leader, others := s.candidates()
	err := eris.Wrap(fault.Unavailable, "no core instance is known")
	if leader != "" {
		var reply *wire.SyncReply
		if reply, err = s.call(ctx, leader, q); err == nil {
			return reply, nil
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		reply *wire.SyncReply
		err   error
	}
	answers := make(chan answer, len(others))
	for _, name := range others {
		go func() {
			reply, err := s.call(ctx, name, q)
			if err != nil && reply.GetLeader() != "" && reply.GetLeader() != leader && reply.GetLeader() != name {
				reply, err = s.call(ctx, reply.GetLeader(), q)
			}
			answers <- answer{reply, err}
		}()
	}
	for range others {
		a := <-answers
		if a.err == nil {
			return a.reply, nil
		}
		err = a.err
	}
	return nil, err
}

// Relay forwards the call of another entry instance to the leader if this
// instance is in contact with it.
func (s *Synchronizer) Relay(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	s.mu.Lock()
	leader := s.leader
	contact := time.Since(s.lastContact) < maxRelayContactAge
	s.mu.Unlock()
	if leader == "" || !contact {
		return &wire.SyncReply{Fault: wire.NewFault(eris.Wrap(fault.Isolated, "not in contact with a leader"))}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.cfg.Peer(leader).Sync(ctx, q)
}

// call calls one instance and records whether it leads.
func (s *Synchronizer) call(ctx context.Context, name string, q *wire.SyncRequest) (*wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.cfg.Clock()
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
	if err != nil && s.leader == name {
		s.leader = ""
	}
	if err != nil && s.relay == name {
		s.relay = ""
	}
	if err == nil {
		if reply.Leader != "" && reply.Leader != name {
			// Another entry instance has relayed the call.
			if name != s.relay || time.Now().After(s.relayUntil) {
				s.relay, s.relayUntil = name, time.Now().Add(relayTime)
			}
			name = reply.Leader
		}
		s.leader, s.lastContact, s.lastAnswered = name, time.Now(), max(s.lastAnswered, sent)
		if len(reply.Peers) > 0 {
			s.peers = reply.Peers
		}
	}
	return reply, err
}

// candidates returns the leader, or the entry instance that relays to it, and
// the instances to call if it doesn't answer.
func (s *Synchronizer) candidates() (leader string, others []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Concat(s.cores, s.cfg.Seeds())
	if time.Since(s.lastContact) > relaySilence {
		names = append(names, s.peers...)
	}
	if s.relay != "" {
		names = append(names, s.relay)
	}
	for _, name := range names {
		if name != s.leader && name != s.cfg.Address && !slices.Contains(others, name) {
			others = append(others, name)
		}
	}
	if s.relay != "" && time.Now().Before(s.relayUntil) {
		if s.leader != "" {
			others = append(others, s.leader)
		}
		return s.relay, others
	}
	return s.leader, others
}

// apply applies whatever in the reply is newer.
func (s *Synchronizer) apply(q *wire.SyncRequest, reply *wire.SyncReply) error {
	s.mu.Lock()
	version, wasUnreachable := s.version, s.unreachable
	s.unreachable = false
	s.mu.Unlock()
	if wasUnreachable {
		s.cfg.Logger.Info("core instances reachable again", zap.String("leader", reply.Leader), zap.Uint64("version", reply.Version))
	}
	if len(reply.Ruleset) > 0 && reply.Version > version {
		rules, err := ruleset.Decode(reply.Ruleset)
		if err != nil {
			return err
		}
		s.cfg.OnRuleset(rules)
		s.cfg.Logger.Info("ruleset in force", zap.Uint64("version", reply.Version), zap.Uint64("before", version))
	}
	s.cfg.OnReply(q, reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = max(s.version, reply.Version)
	s.entries = int(reply.Entries)
	if reply.Listed {
		s.roster = reply.Roster
	}
	if len(reply.Members) > 0 {
		s.fleet = reply.Fleet
	}
	return nil
}
