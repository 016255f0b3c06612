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
	// defaultInterval is the pause between two calls. It bounds the time until
	// a change is in force, and the age of the loads of other instances.
	defaultInterval = 200 * time.Millisecond
	// manyEntries is the number of entry instances above which they call less
	// often, so that the load of the leader stays bounded.
	manyEntries = 25
	// maxInterval bounds the pause with many instances.
	maxInterval = 500 * time.Millisecond
	// callTimeout bounds one call; the leader may have to commit.
	callTimeout = 600 * time.Millisecond
	// peerSilence is the silence of the leader after which other entry instances
	// are asked. Sooner, they would multiply the calls to a leader that is slow.
	peerSilence = 1200 * time.Millisecond
	// viaTime is the time after which the leader is called directly again.
	viaTime = 3 * time.Second
	// relayContact is the time since the last answer of the leader after which
	// calls of other entry instances aren't passed on.
	relayContact = time.Second
	// hurryPause is the shortest pause between two calls.
	hurryPause = 10 * time.Millisecond
)

// Config configures a Synchronizer.
type Config struct {
	// Instance is the incarnation of this instance, Machine the name that all
	// its incarnations share, and Zone its zone.
	Instance, Machine, Zone string
	// Address is where other entry instances reach this one.
	Address string
	// Boot identifies the boot of the machine; "" if it isn't known.
	Boot string
	// Clock returns the time since the boot, with the time in which the machine
	// was suspended.
	Clock func() time.Duration
	// Seeds returns the core instances that the settings name.
	Seeds func() []string
	// Peer returns a client for the named core instance.
	Peer func(name string) wire.DRPCSteeringClient
	// Allowances, Loads and Suspects return what is told.
	Allowances func() []*wire.Allowance
	Loads      func() []*wire.Load
	Suspects   func() []*wire.Suspect
	// OnRuleset is called with a ruleset of a higher version.
	OnRuleset func(*ruleset.Ruleset)
	// OnReply is called with each reply.
	OnReply func(*wire.SyncReply)
	// Interval is the pause between two calls; 0 for the default.
	Interval time.Duration
	Logger   *zap.Logger
}

// Synchronizer is safe for concurrent use.
type Synchronizer struct {
	cfg   Config
	hurry chan struct{}

	mu       sync.Mutex
	sequence uint64
	version  uint64
	roster   uint64
	fleet    uint64 // digest of the entry instances held
	leader   string
	cores    []string
	peers    []string // entry instances
	via      string   // entry instance that passes calls on
	until    time.Time
	touched  time.Time     // last successful call
	started  time.Duration // by the boot clock
	answered time.Duration // sending of the last request that was answered
	suspects []*wire.Suspect
	lost     bool
	entries  int // entry instances in touch
}

// New returns a synchronizer that knows nothing but the settings.
func New(cfg Config) *Synchronizer {
	if cfg.Interval == 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	s := &Synchronizer{cfg: cfg, hurry: make(chan struct{}, 1), started: cfg.Clock()}
	s.answered = s.started
	return s
}

// SinceContact returns the time since the last request that was answered was sent,
// by the boot clock.
func (s *Synchronizer) SinceContact() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Clock() - s.answered
}

// Trigger makes the next call soon.
func (s *Synchronizer) Trigger() {
	select {
	case s.hurry <- struct{}{}:
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
			s.fail(err)
		}
		interval := s.interval()
		pause := time.NewTimer(interval - min(time.Since(started), interval-hurryPause))
		select {
		case <-ctx.Done():
		case <-pause.C:
		case <-s.hurry:
			short := time.NewTimer(hurryPause)
			select {
			case <-short.C:
			case <-ctx.Done():
			}
			short.Stop()
		}
		pause.Stop()
	}
}

// interval returns the pause between two calls.
func (s *Synchronizer) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.cfg.Interval, min(s.cfg.Interval*time.Duration(s.entries)/manyEntries, maxInterval))
}

// fail notes that the leader can't be reached.
func (s *Synchronizer) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lost {
		s.lost = true
		s.cfg.Logger.Warn("Core instances can't be reached.", zap.Error(err), zap.Duration("contact", time.Since(s.touched)), zap.Uint64("version", s.version))
	}
}

// Close tells the leader that the incarnation spends nothing more.
func (s *Synchronizer) Close(ctx context.Context, last []*wire.Allowance) error {
	q := s.request()
	q.Allowances, q.Closing = last, true
	_, err := s.ask(ctx, q)
	return err
}

// request returns the next request.
func (s *Synchronizer) request() *wire.SyncRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return &wire.SyncRequest{
		Instance: s.cfg.Instance, Zone: s.cfg.Zone, Sequence: s.sequence, Version: s.version, Roster: s.roster, Fleet: s.fleet, Address: s.cfg.Address,
		Tenure: &wire.Tenure{Machine: s.cfg.Machine, Boot: s.cfg.Boot, Started: s.started.Nanoseconds(), Answered: s.answered.Nanoseconds()},
	}
}

// round makes one call.
func (s *Synchronizer) round(ctx context.Context) error {
	q := s.request()
	q.Allowances, q.Loads = s.cfg.Allowances(), s.cfg.Loads()
	s.suspects = append(s.suspects, s.cfg.Suspects()...)
	q.Suspects = s.suspects
	reply, err := s.ask(ctx, q)
	if err != nil {
		return err
	}
	s.suspects = nil
	return s.learn(reply)
}

// ask calls the leader if it is known. If it doesn't answer, all other core
// instances are asked at the same time who leads, and, once the silence is
// long, some entry instances, which may reach the leader where this one can't.
func (s *Synchronizer) ask(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
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

// Relay passes the call of another entry instance on to the leader, if this
// instance is in contact with it.
func (s *Synchronizer) Relay(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	s.mu.Lock()
	leader := s.leader
	contact := time.Since(s.touched) < relayContact
	s.mu.Unlock()
	if leader == "" || !contact {
		return &wire.SyncReply{Fault: wire.NewFault(eris.Wrap(fault.Isolated, "no contact with a leader"))}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.cfg.Peer(leader).Sync(ctx, q)
}

// call asks one core instance and remembers whether it leads.
func (s *Synchronizer) call(ctx context.Context, name string, q *wire.SyncRequest) (*wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.cfg.Clock()
	reply, err := s.cfg.Peer(name).Sync(ctx, q)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil && err != nil {
		err = eris.Wrapf(fault.Unavailable, "%s: %v", name, ctx.Err())
	}
	if err == nil && len(reply.Cores) > 0 {
		s.cores = reply.Cores
	}
	if err == nil {
		err = reply.Fault.Err()
	} else {
		err = eris.Wrapf(fault.Unavailable, "%s: %v", name, err)
	}
	if err != nil && s.leader == name {
		s.leader = ""
	}
	if err != nil && s.via == name {
		s.via = ""
	}
	if err == nil {
		if reply.Leader != "" && reply.Leader != name {
			// Another entry instance has passed the call on.
			if name != s.via || time.Now().After(s.until) {
				s.via, s.until = name, time.Now().Add(viaTime)
			}
			name = reply.Leader
		}
		s.leader, s.touched, s.answered = name, time.Now(), max(s.answered, sent)
		if len(reply.Peers) > 0 {
			s.peers = reply.Peers
		}
	}
	return reply, err
}

// candidates returns the leader, if it is known, and the instances that are
// asked if it doesn't answer.
func (s *Synchronizer) candidates() (leader string, others []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := slices.Concat(s.cores, s.cfg.Seeds())
	if time.Since(s.touched) > peerSilence {
		all = append(all, s.peers...)
	}
	if s.via != "" {
		all = append(all, s.via)
	}
	for _, name := range all {
		if name != s.leader && name != s.cfg.Address && !slices.Contains(others, name) {
			others = append(others, name)
		}
	}
	if s.via != "" && time.Now().Before(s.until) {
		return s.via, append(others, s.leader)
	}
	return s.leader, others
}

// learn takes what is newer.
func (s *Synchronizer) learn(reply *wire.SyncReply) error {
	s.mu.Lock()
	version, lost := s.version, s.lost
	s.lost = false
	s.mu.Unlock()
	if lost {
		s.cfg.Logger.Info("Core instances answer again.", zap.String("leader", reply.Leader), zap.Uint64("version", reply.Version))
	}
	if len(reply.Ruleset) > 0 && reply.Version > version {
		rules, err := ruleset.Decode(reply.Ruleset)
		if err != nil {
			return err
		}
		s.cfg.OnRuleset(rules)
		s.cfg.Logger.Info("Ruleset is in force.", zap.Uint64("version", reply.Version), zap.Uint64("before", version))
	}
	s.cfg.OnReply(reply)
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
