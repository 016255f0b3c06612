package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/allocator"
	"github.com/papayapond/papayapond/internal/collector"
	"github.com/papayapond/papayapond/internal/detector"
	"github.com/papayapond/papayapond/internal/divider"
	"github.com/papayapond/papayapond/internal/enroller"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// callTimeout limits a call that is forwarded to the leader, and a commit.
	// Callers give up after a second.
	callTimeout = 900 * time.Millisecond
	// entryBatchTime is the time between two batches to the leader for each entry
	// instance of the fleet, and maxBatchTime limits the sum: small fleets don't
	// wait, and the leader of a large one gets a bounded number of batches.
	entryBatchTime = 150 * time.Microsecond
	maxBatchTime   = 50 * time.Millisecond
	// aliveInterval is the time after which announcements without a change are
	// passed on if nothing else is.
	aliveInterval = 400 * time.Millisecond
	// defaultTargetTimeout is the default of Config.TargetTimeout.
	defaultTargetTimeout = 30 * time.Second
	// entryTimeout is the silence after which an entry instance no longer
	// counts as in contact. Entry instances call a few times a second.
	entryTimeout = 2 * time.Second
)

// Config configures a Coordinator.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Propose, Barrier, Leader, Term and Instances are the functions of the
	// replicated log.
	Propose   func(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	Barrier   func(ctx context.Context) error
	Leader    func() string
	Term      func() uint64
	Instances func() []string
	// Peer returns a client for the named instance.
	Peer func(name string) wire.DRPCSteeringClient
	// TargetTimeout is the silence after which a target expires; 0 selects the
	// default.
	TargetTimeout time.Duration
	Now           func() time.Time
	Logger        *zap.Logger
}

// Coordinator is the service of one core instance. It is safe for concurrent
// use.
type Coordinator struct {
	cfg Config

	mu      sync.Mutex
	rules   *ruleset.Ruleset
	encoded []byte // rules as sent to entry instances
	source  []byte // rules as sent by the operator
	targets *enroller.Enroller
	budgets *allocator.Allocator
	tracer  *tracer.Tracer
	// observed is the revision of the targets that the tracer has observed last.
	observed uint64

	readyTerm     uint64 // term in which all earlier entries are known to be applied
	lastAnnounced map[string]time.Time
	entries       map[string]*entry
	collector     *collector.Collector // of what reaches this instance
	shared        shared               // of all replies
	evidence      *detector.Detector   // of contents that crash targets
	exchange      *detector.Session    // of evidence, with the leader
	divider       *divider.Divider     // of limits that targets name
	summary       *summary
	fleet         fleet
	// sequences holds the sequence number of the last call, by incarnation.
	sequences map[string]uint64
	// applied is closed and replaced when the ruleset or the targets change.
	applied chan struct{}
}

// New returns a coordinator without a ruleset.
func New(cfg Config) *Coordinator {
	if cfg.TargetTimeout == 0 {
		cfg.TargetTimeout = defaultTargetTimeout
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	c := &Coordinator{
		cfg: cfg, targets: enroller.New(),
		lastAnnounced: map[string]time.Time{}, entries: map[string]*entry{}, evidence: detector.New(detector.Config{Now: cfg.Now}), divider: divider.New(divider.Config{Now: cfg.Now}), sequences: map[string]uint64{},
	}
	c.tracer = tracer.New(tracer.Config{Now: cfg.Now, Complete: true})
	c.exchange = c.evidence.NewSession()
	c.collector = collector.New(collector.Config{Send: c.send, Pause: c.batchTime, Now: cfg.Now})
	c.applied = make(chan struct{})
	c.budgets = allocator.New(allocator.Config{Budget: c.budget, OnReplaced: c.logReplaced})
	return c
}

// logReplaced logs what counts as spent by a replaced incarnation, by account,
// beside the budget and what is free of it. The caller holds mu.
func (c *Coordinator) logReplaced(instance string, pause time.Duration, confined bool, lost map[string]int64) {
	budgets, free := map[string]int64{}, map[string]int64{}
	for account := range lost {
		budgets[account], _ = c.budget(account)
		free[account] = c.budgets.Free(account)
	}
	c.cfg.Logger.Info("incarnation replaced", zap.String("instance", instance),
		zap.Duration("pause", pause), zap.Bool("confined", confined), zap.Any("lost", lost),
		zap.Any("budgets", budgets), zap.Any("free", free))
}

// budget returns the budget of an account and whether it has one. The caller
// holds mu.
func (c *Coordinator) budget(account string) (int64, bool) {
	if c.rules == nil {
		return 0, false
	}
	a, ok := c.rules.Account(account)
	if !ok || a.Tokens == nil {
		return 0, false
	}
	return *a.Tokens, true
}

// Run passes on which targets have announced themselves, and expires silent targets
// on the leader, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	alive := time.NewTicker(aliveInterval)
	defer alive.Stop()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-alive.C:
			c.collector.Flush()
			continue
		case <-tick.C:
		}
		if c.cfg.Leader() == c.cfg.Name {
			c.expireTargets(ctx)
		}
	}
}

// expireTargets ends the lifetimes of targets that have been silent for
// TargetTimeout.
func (c *Coordinator) expireTargets(ctx context.Context) {
	if err := c.ensureLeader(ctx); err != nil {
		return // the next leader will expire them
	}
	now := c.cfg.Now()
	var silent []*wire.Listing
	c.mu.Lock()
	for _, l := range c.targets.List() {
		at, ok := c.lastAnnounced[l.Id]
		if !ok {
			c.lastAnnounced[l.Id] = now
		} else if now.Sub(at) > c.cfg.TargetTimeout {
			silent = append(silent, &wire.Listing{Id: l.Id, Born: l.Born, Sequence: l.Sequence, Gone: true})
		}
	}
	c.mu.Unlock()
	for _, l := range silent {
		if _, err := c.commitBatch(ctx, &wire.Batch{Listings: []*wire.Listing{l}}, nil); err != nil {
			c.cfg.Logger.Warn("removing expired target failed", zap.String("target", l.Id), zap.Error(err))
			continue
		}
		c.cfg.Logger.Info("target expired", zap.String("target", l.Id), zap.Duration("silence", c.cfg.TargetTimeout))
	}
}

// ensureLeader checks that this instance leads and has applied everything that
// was committed before its term. Otherwise the error wraps fault.Isolated.
func (c *Coordinator) ensureLeader(ctx context.Context) error {
	if leader := c.cfg.Leader(); leader != c.cfg.Name {
		return eris.Wrapf(fault.Isolated, "the leader is %q", leader)
	}
	term := c.cfg.Term()
	c.mu.Lock()
	ready := c.readyTerm == term
	c.mu.Unlock()
	if ready {
		return nil
	}
	if err := c.barrier(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readyTerm != term {
		c.readyTerm = term
		// The soft state of the previous leader is lost.
		c.entries, c.lastAnnounced, c.sequences = map[string]*entry{}, map[string]time.Time{}, map[string]uint64{}
		c.fleet = fleet{termStart: c.cfg.Now()}
	}
	return nil
}

func (c *Coordinator) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.cfg.Barrier(ctx); err != nil {
		return eris.Wrapf(fault.Isolated, "read barrier: %v", err)
	}
	return nil
}

// commit commits a change to the log and returns its result.
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
