package holder

import (
	"context"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/journal"
	"github.com/papayapond/papayapond/internal/ledger"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// callTimeout bounds one call to another holder or to the replicated log.
	callTimeout = time.Second
	// retryInterval is the interval between attempts of a call with an unknown
	// outcome, and the initial copy backoff.
	retryInterval = 50 * time.Millisecond
	// seedInterval is the interval between searches for accounts without
	// tokens.
	seedInterval = 2 * time.Second
	// releaseInterval is the interval between attempts to confirm releases.
	releaseInterval = 250 * time.Millisecond
)

// Config configures a Holder.
type Config struct {
	// Name is the name of the instance, Zone its availability zone.
	Name string
	Zone string
	// Path is the data folder.
	Path string
	// Peers are the holders of the other zones.
	Peers []string
	// Instances returns the entry instances that may have allowances of this
	// zone. Stranded tokens become free once all of them have handed over their
	// records. If it is nil, they stay stranded.
	Instances func() []string
	// LocalInstances are the other entry instances of the zone. Draws of all
	// other instances leave the reserve untouched. RetainBills sends one of
	// them bills that are only on the disk of this holder.
	LocalInstances []string
	RetainBills    func(ctx context.Context, instance string, request *wire.CopyRequest) (*wire.CopyReply, error)
	// CompactBytes is the journal size that triggers a compaction; 0 for the
	// default of the ledger.
	CompactBytes int64
	// ReserveShare returns the share of the last grant that is reserved for the
	// zone.
	ReserveShare func() float64
	// Propose and Read call the Control service.
	Propose func(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error)
	Read    func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
	// Copy, Fetch, Release and Tally call the Books service of another holder.
	Copy    func(ctx context.Context, holder string, request *wire.CopyRequest) (*wire.CopyReply, error)
	Fetch   func(ctx context.Context, holder string, request *wire.FetchRequest) (*wire.FetchReply, error)
	Release func(ctx context.Context, holder string, request *wire.ReleaseRequest) (*wire.ReleaseReply, error)
	Tally   func(ctx context.Context, holder string, request *wire.TallyRequest) (*wire.TallyReply, error)
	Now     func() time.Time
	// Journal opens the journal in a folder; nil selects journal.Open.
	Journal func(path string) (*journal.Journal, error)
	// RecoveryInterval is the interval between attempts to recover a journal
	// after a storage error; 0 selects the default.
	RecoveryInterval time.Duration
	Logger           *zap.Logger
}

// defaultRecoveryInterval is the default of Config.RecoveryInterval. Each attempt
// writes the journal anew.
const defaultRecoveryInterval = 500 * time.Millisecond

func (cfg Config) withDefaults() Config {
	if cfg.Journal == nil {
		cfg.Journal = func(path string) (*journal.Journal, error) {
			return journal.Open(journal.Config{Path: path, Logger: cfg.Logger})
		}
	}
	if cfg.RecoveryInterval == 0 {
		cfg.RecoveryInterval = defaultRecoveryInterval
	}
	return cfg
}

// Holder implements wire.DRPCBooksServer. Until Run has opened or restored the
// ledger, it only stores and returns copies and rejects all other calls with
// fault.Unavailable. It is safe for concurrent use.
type Holder struct {
	cfg     Config
	journal *journal.Journal
	ledger  atomic.Pointer[ledger.Ledger]
	closing atomic.Bool
	// closingSince is the time of the first closing Release call, in Unix
	// nanoseconds.
	closingSince atomic.Int64
	// exchangedNanos is the time up to which all bills have been exchanged with
	// the other zones, in Unix nanoseconds.
	exchangedNanos atomic.Int64
	progress       *progress
	grants         *grants
	handovers      *handovers
	witnesses      witnesses

	liveness   *liveness
	confirmSem chan struct{} // held while releases are confirmed

	mu         sync.Mutex
	epochState epochState
	replicas   map[string]*replica
	closed     bool
}

// New opens the journal of the zone.
func New(cfg Config) (*Holder, error) {
	cfg = cfg.withDefaults()
	j, err := cfg.Journal(filepath.Join(cfg.Path, "ledger"))
	if err != nil {
		return nil, eris.Wrap(err, "open journal")
	}
	return &Holder{
		cfg:        cfg,
		journal:    j,
		progress:   newProgress(),
		grants:     newGrants(),
		handovers:  &handovers{},
		liveness:   newLiveness(cfg),
		confirmSem: make(chan struct{}, 1),
		replicas:   map[string]*replica{},
	}, nil
}

// Ledger returns the ledger of the zone, or nil if it is not open.
func (h *Holder) Ledger() *ledger.Ledger { return h.ledger.Load() }

// Run opens or restores the ledger, then copies records, requests grants and
// confirms releases until ctx ends. After a storage error it opens the ledger
// again once storage works. It closes the journals before it returns.
func (h *Holder) Run(ctx context.Context) {
	defer h.close()
	for h.serve(ctx) {
	}
}

// serve opens or restores the ledger and runs the tasks that need it, until ctx
// ends or the journal has recovered from a storage error. It reports whether the
// ledger has to be opened again.
func (h *Holder) serve(ctx context.Context) (again bool) {
	l, err := h.openLedger(ctx)
	if err != nil {
		h.cfg.Logger.Info("ledger not opened", zap.Error(err))
		return false
	}
	if err := h.loadPending(l.Epoch()); err != nil {
		h.cfg.Logger.Error("failed to open ledger", zap.Error(err))
		return false
	}
	h.ledger.Store(l)
	h.cfg.Logger.Info("ledger opened", zap.Uint64("epoch", l.Epoch()), zap.Uint64("position", h.journal.Next()))
	if stopped := l.StoppedAccounts(); len(stopped) > 0 {
		h.cfg.Logger.Error("accounts stopped by a violated invariant", zap.Strings("accounts", stopped))
	}
	defer h.ledger.Store(nil)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	openPosition := h.journal.Next()
	s := &seeder{Holder: h}
	h.grants.start()
	for _, peer := range h.cfg.Peers {
		group.Go(func() { h.copyTo(ctx, l, peer, openPosition) })
	}
	group.Go(func() { runEvery(ctx, releaseInterval, func() { h.flushReleases(ctx, l) }) })
	group.Go(func() { runEvery(ctx, freeInterval, func() { h.freeAfterHandover(l) }) })
	group.Go(func() { runEvery(ctx, releaseInterval, func() { h.resolvePending(ctx, l) }) })
	group.Go(func() { runEvery(ctx, seedInterval, func() { s.seed(ctx, l) }) })
	group.Go(func() { runEvery(ctx, provisionInterval, func() { h.provision(ctx, l) }) })
	group.Go(func() { runEvery(ctx, mergeInterval, func() { h.mergeAll(l) }) })
	again = h.awaitRecovery(ctx, l)
	cancel()
	h.grants.stop()
	return again
}

// awaitRecovery returns false when ctx ends, and true when the journal has
// recovered from a storage error. The state of the ledger may then be ahead of
// the journal.
func (h *Holder) awaitRecovery(ctx context.Context, l *ledger.Ledger) bool {
	for {
		sleep(ctx, h.cfg.RecoveryInterval)
		if ctx.Err() != nil {
			return false
		}
		if h.journal.Err() == nil {
			continue
		}
		l.Seal()
		if h.journal.Recover(recoveryReserve) == nil {
			h.cfg.Logger.Info("journal accepts records again", zap.String("path", filepath.Join(h.cfg.Path, "ledger")), zap.Uint64("position", h.journal.Next()))
			return true
		}
	}
}

func (h *Holder) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, r := range h.replicas {
		r.close()
	}
	if err := h.journal.Close(); err != nil {
		h.cfg.Logger.Warn("failed to close journal", zap.Error(err))
	}
}

// runEvery calls f at once and then at each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		f()
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// propose sends a command once. The error wraps fault.Uncertain if the command
// may have been applied.
func (h *Holder) propose(ctx context.Context, command *wire.Command) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	command.Time = h.cfg.Now().UnixNano()
	reply, err := h.cfg.Propose(ctx, command)
	if err != nil {
		return nil, eris.Wrapf(fault.Uncertain, "propose: %v", err)
	}
	if err := reply.Fault.Err(); err != nil {
		switch fault.Of(err) {
		case fault.Isolated, fault.Unavailable, fault.Expired, fault.Internal, fault.Draining, fault.Uncertain, fault.Overloaded:
			return nil, eris.Wrapf(fault.Uncertain, "propose: %v", err)
		}
		return nil, err
	}
	return reply.Result, nil
}
