package synchronizer

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/recoverer"
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
	// loadTime is the least time between two tables of loads, for each target. It
	// bounds what they take of the link to some 15 kB a second.
	loadTime = 300 * time.Microsecond
	// maxRelayContactAge is the time since the last answer of a core instance after
	// which calls of other entry instances are no longer relayed.
	maxRelayContactAge = time.Second
	// forgetInterval is the least time between two calls that ask for everything
	// because a reply was applied in part: the lists of a large fleet are long.
	forgetInterval = 5 * time.Second
	// minPause is the shortest pause between two calls in a small fleet. It is twice as
	// long with manyEntries, and grows with their number.
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
	// Recoverer, if not nil, runs the calls and applies the replies.
	Recoverer *recoverer.Recoverer
	Logger    *zap.Logger
}

// Synchronizer calls a core instance periodically. It is safe for concurrent use.
type Synchronizer struct {
	cfg     Config
	trigger chan struct{}

	mu           sync.Mutex
	sequence     uint64
	version      uint64
	roster       uint64
	targets      map[string]*wire.Listing // of the revision roster
	loaded       time.Time                // when loads were asked for
	fleet        uint64                   // digest of the member list held
	leader       string
	cores        []string
	peers        []string      // entry instances
	current      string        // instance that answered last; "" after a failed round
	currentUntil time.Time     // until when it is called first, if another one is preferred
	failures     int           // failed rounds since the last answer
	lastContact  time.Time     // last successful call
	started      time.Duration // by the boot clock
	lastAnswered time.Duration // when the last answered request was sent
	unreachable  bool
	entries      int       // entry instances in contact
	outdated     bool      // a reply was applied in part
	forgotten    time.Time // last time that everything was asked for again
}

// New returns a synchronizer that knows only the settings.
func New(cfg Config) *Synchronizer {
	if cfg.Interval == 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Recoverer == nil {
		cfg.Recoverer = recoverer.New(recoverer.Config{Logger: cfg.Logger})
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

// Run calls core instances until ctx ends.
func (s *Synchronizer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := time.Now()
		interval, least := s.pauses()
		err := s.cfg.Recoverer.Do("synchronize", func() error { return s.round(ctx) })
		if errors.Is(err, recoverer.ErrPanic) {
			s.Forget()
		}
		if err != nil && ctx.Err() == nil {
			s.markUnreachable(err)
			// Spreads the calls of all instances that failed together.
			interval += rand.N(interval)
		}
		pause := time.NewTimer(interval - min(time.Since(started), interval-least))
		select {
		case <-ctx.Done():
		case <-pause.C:
		case <-s.trigger:
			short := time.NewTimer(least)
			select {
			case <-short.C:
			case <-ctx.Done():
			}
			short.Stop()
		}
		pause.Stop()
	}
}

// pauses returns the pause between two calls and the least one, depending on the
// size of the fleet.
func (s *Synchronizer) pauses() (interval, least time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval = max(s.cfg.Interval, min(s.cfg.Interval*time.Duration(s.entries)/manyEntries, maxInterval))
	least = max(minPause, min(2*minPause*time.Duration(s.entries)/manyEntries, interval/2))
	return interval, least
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
	if s.outdated && time.Since(s.forgotten) >= forgetInterval {
		s.outdated, s.forgotten, s.roster, s.fleet, s.loaded = false, time.Now(), 0, 0, time.Time{}
	}
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
	s.mu.Lock()
	q.Load = time.Since(s.loaded) >= time.Duration(len(s.targets))*loadTime
	s.mu.Unlock()
	reply, err := s.send(ctx, q)
	if err != nil {
		return err
	}
	s.apply(q, reply)
	return nil
}

// Relay forwards the call of another entry instance if this instance is in contact
// with a core instance.
func (s *Synchronizer) Relay(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	seeds := s.cfg.Seeds()
	s.mu.Lock()
	current := s.current
	contact := time.Since(s.lastContact) < maxRelayContactAge && s.isCore(current, seeds)
	s.mu.Unlock()
	if !contact {
		return &wire.SyncReply{Fault: wire.NewFault(eris.Wrap(fault.Isolated, "not in contact with a core instance"))}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.cfg.Peer(current).Sync(ctx, q)
}

// isCore reports whether the name is that of a known core instance, or among the seeds.
// The caller holds mu.
func (s *Synchronizer) isCore(name string, seeds []string) bool {
	return name != "" && (name == s.leader || slices.Contains(s.cores, name) || slices.Contains(seeds, name))
}

// apply applies whatever in the reply is newer.
func (s *Synchronizer) apply(q *wire.SyncRequest, reply *wire.SyncReply) {
	s.mu.Lock()
	version, wasUnreachable := s.version, s.unreachable
	s.unreachable = false
	s.mu.Unlock()
	if wasUnreachable {
		s.cfg.Logger.Info("core instances reachable again", zap.String("leader", reply.Leader), zap.Uint64("version", reply.Version))
	}
	isApplied := s.applyRuleset(reply, version)
	if reply.Listed {
		s.complete(reply)
	}
	s.cfg.OnReply(q, reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if isApplied {
		s.version = max(s.version, reply.Version)
	}
	s.entries = int(reply.Entries)
	if len(reply.Table) > 0 {
		s.loaded = time.Now()
	}
	if len(reply.Members) > 0 {
		s.fleet = reply.Fleet
	}
}

// applyRuleset puts the ruleset of a reply in force if it is newer than a version. It
// returns false if that fails. The rest of the reply doesn't depend on it, and the ruleset
// comes again with the next one.
func (s *Synchronizer) applyRuleset(reply *wire.SyncReply, version uint64) bool {
	if len(reply.Ruleset) == 0 || reply.Version <= version {
		return true
	}
	err := s.cfg.Recoverer.Do("apply ruleset", func() error {
		rules, err := ruleset.Decode(reply.Ruleset)
		if err == nil {
			s.cfg.OnRuleset(rules)
		}
		return err
	}, zap.Uint64("version", reply.Version))
	if err != nil {
		s.cfg.Logger.Error("ruleset is not in force", zap.Uint64("version", reply.Version), zap.Uint64("before", version), zap.Error(err))
		return false
	}
	s.cfg.Logger.Info("ruleset in force", zap.Uint64("version", reply.Version), zap.Uint64("before", version))
	return true
}

// Forget makes the next call ask for all targets and members, because a reply was applied
// in part. In a row, that happens every forgetInterval.
func (s *Synchronizer) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outdated = true
}

// complete keeps the targets of a reply, and puts all of them into one that tells
// only what has changed.
func (s *Synchronizer) complete(reply *wire.SyncReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !reply.Partial {
		s.targets = map[string]*wire.Listing{}
	}
	for _, l := range reply.Targets {
		if l.Gone {
			delete(s.targets, l.Id)
		} else {
			s.targets[l.Id] = l
		}
	}
	reply.Targets, reply.Partial = slices.SortedFunc(maps.Values(s.targets), func(a, b *wire.Listing) int { return cmp.Compare(a.Id, b.Id) }), false
	s.roster = reply.Roster
}
