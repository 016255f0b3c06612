package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/allocator"
	"github.com/papayapond/papayapond/internal/enroller"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// callTimeout bounds a call that is passed on to the leader, and a commit.
	// Callers give up after a second.
	callTimeout = 900 * time.Millisecond
	// defaultForget is the silence after which a target is taken off the list.
	defaultForget = 30 * time.Second
	// entryTimeout is the silence after which an entry instance is no longer
	// in touch. They call a few times a second.
	entryTimeout = 2 * time.Second
)

// Config configures a Coordinator.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Propose, Barrier, Leader, Term and Instances are those of the replicated
	// log.
	Propose   func(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	Barrier   func(ctx context.Context) error
	Leader    func() string
	Term      func() uint64
	Instances func() []string
	// Peer returns a client for the named instance.
	Peer func(name string) wire.DRPCSteeringClient
	// TargetTimeout is the silence after which a target is taken off the list; 0 for
	// the default.
	TargetTimeout time.Duration
	Now           func() time.Time
	Logger        *zap.Logger
}

// Coordinator is safe for concurrent use.
type Coordinator struct {
	cfg Config

	mu      sync.Mutex
	rules   *ruleset.Ruleset
	encoded []byte // rules, as sent to entry instances
	source  []byte // rules, as sent by the operator
	targets *enroller.Enroller
	budgets *allocator.Allocator

	term    uint64 // term for which the state is known to be applied
	heard   map[string]time.Time
	entries map[string]*entry
	crashes map[string]*crash
	summary *summary
	fleet   fleet
	// sequences are those of the last calls, by incarnation.
	sequences map[string]uint64
}

// New returns a coordinator that knows no ruleset.
func New(cfg Config) *Coordinator {
	if cfg.TargetTimeout == 0 {
		cfg.TargetTimeout = defaultForget
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	c := &Coordinator{
		cfg: cfg, targets: enroller.New(),
		heard: map[string]time.Time{}, entries: map[string]*entry{}, crashes: map[string]*crash{}, sequences: map[string]uint64{},
	}
	c.budgets = allocator.New(allocator.Config{Budget: c.total, OnReplaced: c.succeeded})
	return c
}

// succeeded logs what counts as spent of an incarnation that was lost.
func (c *Coordinator) succeeded(instance string, pause time.Duration, confined bool, lost map[string]int64) {
	c.cfg.Logger.Info("Incarnation is followed by another one.", zap.String("instance", instance),
		zap.Duration("pause", pause), zap.Bool("confined", confined), zap.Any("lost", lost))
}

// total returns the budget of an account. The caller holds mu.
func (c *Coordinator) total(account string) (int64, bool) {
	if c.rules == nil {
		return 0, false
	}
	a, ok := c.rules.Account(account)
	if !ok || a.Tokens == nil {
		return 0, false
	}
	return *a.Tokens, true
}

// Run takes silent targets off the list until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if c.cfg.Leader() == c.cfg.Name {
			c.forget(ctx)
		}
	}
}

// forget ends the lifetimes of targets that have been silent for long.
func (c *Coordinator) forget(ctx context.Context) {
	if err := c.current(ctx); err != nil {
		return // the next leader does it
	}
	now := c.cfg.Now()
	var silent []*wire.Listing
	c.mu.Lock()
	for _, l := range c.targets.List() {
		at, ok := c.heard[l.Id]
		if !ok {
			c.heard[l.Id] = now
		} else if now.Sub(at) > c.cfg.TargetTimeout {
			silent = append(silent, &wire.Listing{Id: l.Id, Born: l.Born, Sequence: l.Sequence, Gone: true})
		}
	}
	c.mu.Unlock()
	for _, l := range silent {
		c.cfg.Logger.Info("Target is silent and taken off the list.", zap.String("target", l.Id), zap.Duration("silence", c.cfg.TargetTimeout))
		if _, err := c.commit(ctx, &wire.Directive{Change: &wire.Directive_Enlist{Enlist: l}}); err != nil {
			c.cfg.Logger.Warn("Taking a target off the list.", zap.String("target", l.Id), zap.Error(err))
		}
	}
}

// current makes sure that this instance leads and has applied all that was
// committed before its term. The error wraps fault.Isolated otherwise.
func (c *Coordinator) current(ctx context.Context) error {
	if leader := c.cfg.Leader(); leader != c.cfg.Name {
		return eris.Wrapf(fault.Isolated, "the leader is %q", leader)
	}
	term := c.cfg.Term()
	c.mu.Lock()
	known := c.term == term
	c.mu.Unlock()
	if known {
		return nil
	}
	if err := c.barrier(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term {
		c.term = term
		// What the leader before knew of these is lost.
		c.entries, c.heard, c.sequences = map[string]*entry{}, map[string]time.Time{}, map[string]uint64{}
		c.fleet = fleet{since: c.cfg.Now()}
	}
	return nil
}

func (c *Coordinator) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.cfg.Barrier(ctx); err != nil {
		return eris.Wrapf(fault.Isolated, "read point: %v", err)
	}
	return nil
}

// commit applies a change through the log and returns its result.
func (c *Coordinator) commit(ctx context.Context, d *wire.Directive) ([]byte, error) {
	data, err := proto.Marshal(d)
	if err != nil {
		return nil, eris.Wrap(err, "encode directive")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, result, err := c.cfg.Propose(ctx, data)
	if err != nil {
		return nil, eris.Wrapf(fault.Isolated, "commit: %v", err)
	}
	return result, nil
}
