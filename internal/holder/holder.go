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
	// callTimeout bounds one call to another holder or to the log.
	callTimeout = time.Second
	// retryPause separates attempts of a call with an unknown outcome.
	retryPause = 50 * time.Millisecond
	// seedInterval separates the searches for accounts without rights.
	seedInterval = 2 * time.Second
	// releaseInterval separates the attempts to confirm releases.
	releaseInterval = 250 * time.Millisecond
)

// Config configures a Holder.
type Config struct {
	// Name is the instance, Zone its availability zone.
	Name string
	Zone string
	// Path is the data folder.
	Path string
	// Others are the holders of the other zones.
	Others []string
	// Instances returns the entry instances that may hold allowances of this
	// zone. Stranded rights become free when all of them have handed over
	// their records; without the function they stay stranded.
	Instances func() []string
	// Neighbors are the other entry instances of the zone; draws of all other
	// instances leave the reserve. Witness sends one of them bills that are on
	// the disk of this holder only.
	Neighbors []string
	Witness   func(ctx context.Context, instance string, request *wire.CopyRequest) (*wire.CopyReply, error)
	// Compact is the journal size in bytes that starts a compaction; 0 for the
	// default of the ledger.
	Compact int64
	// Reserve returns the share of the last grant that stays in the zone.
	Reserve func() float64
	// Propose and Read call the service Control.
	Propose func(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error)
	Read    func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
	// Copy, Fetch, Release and Tally call the service Books of another holder.
	Copy    func(ctx context.Context, holder string, request *wire.CopyRequest) (*wire.CopyReply, error)
	Fetch   func(ctx context.Context, holder string, request *wire.FetchRequest) (*wire.FetchReply, error)
	Release func(ctx context.Context, holder string, request *wire.ReleaseRequest) (*wire.ReleaseReply, error)
	Tally   func(ctx context.Context, holder string, request *wire.TallyRequest) (*wire.TallyReply, error)
	Now     func() time.Time
	Logger  *zap.Logger
}

// Holder serves wire.DRPCBooksServer. Until Run has opened or restored the
// books, it stores and returns copies only, and all other calls are answered
// with fault.Unavailable. It is safe for concurrent use.
type Holder struct {
	cfg     Config
	journal *journal.Journal
	ledger  atomic.Pointer[ledger.Ledger]
	closing atomic.Bool
	// closingSince is the time of the first call that closes, in nanoseconds.
	closingSince atomic.Int64
	// exchanged is the time until which all bills have been exchanged with the
	// other zones, in Unix nanoseconds.
	exchanged atomic.Int64
	progress  *progress
	grants    *grants
	proofs    *proofs
	witnesses witnesses

	contacts  *contacts
	releasing chan struct{} // held while releases are confirmed

	mu       sync.Mutex
	opening  opening
	replicas map[string]*replica
	closed   bool
}

// New opens the journal of the zone.
func New(cfg Config) (*Holder, error) {
	j, err := journal.Open(journal.Config{Path: filepath.Join(cfg.Path, "ledger"), Logger: cfg.Logger})
	if err != nil {
		return nil, eris.Wrap(err, "open the journal")
	}
	return &Holder{
		cfg:       cfg,
		journal:   j,
		progress:  newProgress(),
		grants:    newGrants(),
		proofs:    &proofs{},
		contacts:  newContacts(cfg),
		releasing: make(chan struct{}, 1),
		replicas:  map[string]*replica{},
	}, nil
}

// Ledger returns the books of the zone, or nil before they are open.
func (h *Holder) Ledger() *ledger.Ledger { return h.ledger.Load() }

// Run opens or restores the books, and then copies records, asks for grants
// and confirms releases until ctx ends. It closes the journals at the end.
func (h *Holder) Run(ctx context.Context) {
	defer h.close()
	l, err := h.begin(ctx)
	if err != nil {
		h.cfg.Logger.Info("Books are not open.", zap.Error(err))
		return
	}
	if err := h.loadPending(l.Epoch()); err != nil {
		h.cfg.Logger.Error("Books can't be opened.", zap.Error(err))
		return
	}
	h.ledger.Store(l)
	h.cfg.Logger.Info("Books are open.", zap.Uint64("epoch", l.Epoch()), zap.Uint64("position", h.journal.Next()))
	if stopped := l.StoppedAccounts(); len(stopped) > 0 {
		h.cfg.Logger.Error("Accounts are stopped since an invariant was violated.", zap.Strings("accounts", stopped))
	}
	defer h.ledger.Store(nil)
	var group sync.WaitGroup
	defer group.Wait()
	target := h.journal.Next()
	seeds := &seeder{Holder: h}
	for _, other := range h.cfg.Others {
		group.Go(func() { h.copyTo(ctx, l, other, target) })
	}
	group.Go(func() { every(ctx, releaseInterval, func() { h.sendAll(ctx, l) }) })
	group.Go(func() { every(ctx, proofInterval, func() { h.free(l) }) })
	group.Go(func() { every(ctx, releaseInterval, func() { h.settlePending(ctx, l) }) })
	group.Go(func() { every(ctx, seedInterval, func() { seeds.seed(ctx, l) }) })
	group.Go(func() { every(ctx, provisionInterval, func() { h.provision(ctx, l) }) })
	group.Go(func() { every(ctx, mergeInterval, func() { h.mergeAll(l) }) })
	<-ctx.Done()
	h.grants.stop()
}

func (h *Holder) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, r := range h.replicas {
		r.close()
	}
	if err := h.journal.Close(); err != nil {
		h.cfg.Logger.Warn("Journal can't be closed.", zap.Error(err))
	}
}

// every calls f now and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
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

// sleep waits for the duration or the end of ctx.
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
