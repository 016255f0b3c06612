package forwarder

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/retrier"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/spender"
	"github.com/papayapond/papayapond/internal/wire"
)

// Headers are the names of headers that callers and targets understand.
type Headers struct {
	// Attempt identifies an attempt of a caller; targets repeat it.
	Attempt string
	// Deadline is the time in ms for which the sender waits.
	Deadline string
	// Signature is on each answer that a target has made.
	Signature string
	// Refused says that a target didn't run the request.
	Refused string
	// Target names the target that is to run the request.
	Target string
	// Account is the client account, for targets.
	Account string
	// Usage holds the tokens of the prompt and of the longest answer.
	Usage string
	// Parts holds the parts of the prompt.
	Parts string
	// Priority is the rank at the target.
	Priority string
	// Reserved are further headers that callers may not set.
	Reserved []string
}

// Config configures a Forwarder.
type Config struct {
	Headers   Headers
	Balancer  *balancer.Balancer
	Exchanger *exchanger.Exchanger
	Spender   *spender.Spender
	// RetryRatio, RetrySlack and RetryWindow bound the requests that are sent
	// again, for all instances together.
	RetryRatio  float64
	MinRetries  float64
	RetryWindow time.Duration
	// CoreSilence returns the time since the core instances answered.
	CoreSilence func() time.Duration
	// CountBytes is called with bytes that come and bytes that leave, Closing tells whether
	// the connection of an answer is to be closed; nil for none.
	CountBytes      func(received, sent int)
	CloseConnection func() bool
	// Observe is called at the end of each request; nil for none.
	Observe func(Report)
	Logger  *zap.Logger
	Now     func() time.Time
}

// Report is how a request ended.
type Report struct {
	Route     string
	Outcome   string
	Status    int // of the answer; 0 if none was sent
	Duration  time.Duration
	FirstByte time.Duration // until the first byte of the answer; 0 if none
	Attempts  int
}

// Forwarder is an http.Handler. It is safe for concurrent use.
type Forwarder struct {
	cfg   Config
	rules atomic.Pointer[ruleset.Ruleset]

	mu       sync.Mutex
	retriers map[string]*retrier.Retrier // by pool
	entries  int
	suspects []*wire.Suspect
	blocked  map[string]bool
	flight   int
}

// New returns a forwarder that refuses everything until it has a ruleset.
func New(cfg Config) *Forwarder {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.CountBytes == nil {
		cfg.CountBytes = func(int, int) {}
	}
	if cfg.CloseConnection == nil {
		cfg.CloseConnection = func() bool { return false }
	}
	if cfg.Observe == nil {
		cfg.Observe = func(Report) {}
	}
	return &Forwarder{cfg: cfg, retriers: map[string]*retrier.Retrier{}, entries: 1, blocked: map[string]bool{}}
}

// SetRuleset puts a ruleset in force.
func (f *Forwarder) SetRuleset(r *ruleset.Ruleset) {
	f.cfg.Balancer.SetPools(r.Config().Pools)
	f.rules.Store(r)
}

// UpdateCluster takes the number of entry instances and the requests that crash
// targets.
func (f *Forwarder) UpdateCluster(entries int, blocked []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if entries > f.entries {
		f.entries = entries
		// The slack is divided by more instances from now on.
		f.retriers = map[string]*retrier.Retrier{}
	}
	f.blocked = map[string]bool{}
	for _, digest := range blocked {
		f.blocked[digest] = true
	}
}

// TakeSuspects returns the requests that were in flight when targets broke their
// connection, since the last call.
func (f *Forwarder) TakeSuspects() []*wire.Suspect {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.suspects
	f.suspects = nil
	return list
}

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.flight
}

// retrier returns the budget of repeats of a pool.
func (f *Forwarder) retrier(pool string) *retrier.Retrier {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.retriers[pool]
	if r == nil {
		r = retrier.New(retrier.Config{
			// A tenth is left for requests that several instances count.
			Ratio: 0.9 * f.cfg.RetryRatio, MinRetries: max(int(0.8*f.cfg.MinRetries)/max(f.entries, 1), 1), Window: f.cfg.RetryWindow, Now: f.cfg.Now,
		})
		f.retriers[pool] = r
	}
	return r
}

// suspect notes that a target broke the connection of a request.
func (f *Forwarder) suspect(digest, target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects = append(f.suspects, &wire.Suspect{Digest: digest, Target: target})
}

func (f *Forwarder) isBlocked(digest string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blocked[digest]
}

func (f *Forwarder) count(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flight += n
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.count(1)
	defer f.count(-1)
	x := &exchange{f: f, w: w, r: r, arrived: f.cfg.Now()}
	if !x.prepare() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.serve(ctx)
}
