package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
)

const (
	// maxBody bounds the body of a request, in bytes.
	maxBody = 4 << 20
	// findTimeout bounds the question to the ledger about an identity.
	findTimeout = 100 * time.Millisecond
	// clockSkew is the stated bound on the difference of clocks.
	clockSkew = 500 * time.Millisecond
	// maxAnswer bounds an answer that is kept for a retry, in bytes.
	maxAnswer = 256 << 10
)

// Config configures a Gateway.
type Config struct {
	// Zone is the zone of this instance.
	Zone string
	// Current returns the configuration in force, or nil.
	Current func() *configuration.Configuration
	// Synced tells whether this instance knows the state of the fleet.
	Synced func() bool
	// Phase returns the phase of the venture.
	Phase func() string
	// Skew returns the measured difference to the clock of a holder.
	Skew func() time.Duration
	// Account finds the owner of a key; Group finds the group of a target if
	// the key is that of the group.
	Account func(key string) (account.Account, error)
	Group   func(target, key string) (group.Group, error)
	// Reserve, Settle and Cancel act on the allowances of this instance.
	Reserve func(ctx context.Context, account string, amount int64) (uint64, error)
	Settle  func(ctx context.Context, ticket uint64, bill *wire.Bill) (wire.Outcome, error)
	Cancel  func(ticket uint64)
	// Find asks the ledger about the identity of a request.
	Find func(ctx context.Context, request *wire.FindRequest) (*wire.FindReply, error)
	// Propose sends a command to the control members, Read reads their state.
	Propose func(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error)
	Read    func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
	// Do sends a job to targets.
	Do func(ctx context.Context, job dispatcher.Job, consume func(target *wire.Target, r *http.Response) (bool, error)) (string, error)
	// Admit waits until a request to a model or a service may be sent. Started
	// tells that its answer has begun, release that it has ended.
	Admit func(ctx context.Context, model, service, account string, weight int64, class string) (started, release func(), err error)
	// ReadyTargets returns the targets for a model.
	ReadyTargets func(zone, model, service string) []*wire.Target
	// Announce passes the state of a target on.
	Announce func(ctx context.Context, t *wire.Target) error
	// Self returns this instance with its incarnation.
	Self func() *wire.Holding
	// DrainDelay is the time between a failing readiness check and the refusal of
	// new requests, in which the balancer turns away.
	DrainDelay time.Duration
	// Observe takes the figures of an ended request.
	Observe func(RequestMetrics)
	Now     func() time.Time
	Logger  *zap.Logger
}

// RequestMetrics holds the figures of one ended request for the metrics.
type RequestMetrics struct {
	Account, Class, Code string
	// FirstToken is the time to the first token of a stream, 0 if there was none.
	// An answer that arrives as a whole has no first token: its time depends
	// on its length and would hide slow streams.
	FirstToken, Total time.Duration
	// InterToken are the times between tokens of a stream.
	InterToken []time.Duration
	Billed     int64
	// ExceededBound tells that the engine reported more usage than the bound that
	// was reserved; the bound is billed.
	ExceededBound bool
}

// Gateway is the HTTP handler for callers and targets.
type Gateway struct {
	cfg      Config
	mux      *mux.Router
	client   *http.Client
	stopping atomic.Bool // the readiness check fails
	draining atomic.Bool // new requests are refused
	flight   atomic.Int64
	group    sync.WaitGroup

	mu        sync.Mutex
	abandoned map[string]*wire.Resolve // claims with an unknown outcome, by account and identity
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	g := &Gateway{cfg: cfg, mux: mux.NewRouter().UseEncodedPath(), client: &http.Client{Timeout: time.Second}, abandoned: map[string]*wire.Resolve{}}
	g.mux.HandleFunc("/v1/chat/completions", g.serve("json", g.chat)).Methods(http.MethodPost)
	g.mux.HandleFunc("/v1/services/{name}/{path:.*}", g.serve("service", g.service))
	g.mux.HandleFunc("/v1/models", g.serve("", g.models)).Methods(http.MethodGet)
	g.mux.HandleFunc("/v1/requests/{key}", g.serve("", g.request)).Methods(http.MethodGet)
	g.mux.HandleFunc("/v1/targets", g.announce).Methods(http.MethodPost)
	g.mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	g.mux.HandleFunc("/readyz", g.ready)
	return g
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.flight.Load()) }

// Drain makes the readiness check fail, refuses new requests after the grace
// time, and waits until no request is in flight, or until ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	g.stopping.Store(true)
	select {
	case <-time.After(g.cfg.DrainDelay):
	case <-ctx.Done():
	}
	g.draining.Store(true)
	done := make(chan struct{})
	go func() {
		g.group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Errorf("%d requests are still in flight", g.InFlight())
	}
}

// IsReady tells whether the instance takes requests.
func (g *Gateway) IsReady() bool {
	return !g.stopping.Load() && g.cfg.Current() != nil && g.cfg.Synced()
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if !g.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// session is one request of a caller.
type session struct {
	http.ResponseWriter
	request *http.Request
	account account.Account
	config  *configuration.Configuration
	start   time.Time
	// key is the Idempotency-Key, or empty; identity is the key or a random
	// identity.
	key, identity string
	digest        []byte
	outcome       RequestMetrics
	started       bool // the status line has been written
}

// serve authenticates a caller, opens the session and answers its error. The
// class counts until the request has been read; requests without one are not
// observed.
func (g *Gateway) serve(class string, handle func(*session) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.group.Add(1)
		defer g.group.Done()
		g.flight.Add(1)
		defer g.flight.Add(-1)
		s := &session{ResponseWriter: w, request: r, start: g.cfg.Now(), outcome: RequestMetrics{Class: class}}
		err := g.open(s)
		w.Header().Set(dispatcher.RequestHeader, s.identity)
		if err == nil {
			err = handle(s)
		}
		if err != nil {
			g.refuse(s, err)
		}
		s.outcome.Account = s.account.Name
		s.outcome.Total = g.cfg.Now().Sub(s.start)
		g.trace(s, "Request ended.", zap.String("code", s.outcome.Code), zap.Int64("billed", s.outcome.Billed), zap.Duration("total", s.outcome.Total))
		if g.cfg.Observe != nil && s.outcome.Class != "" {
			g.cfg.Observe(s.outcome)
		}
	}
}

func (g *Gateway) open(s *session) error {
	s.identity = newIdentity()
	if g.draining.Load() {
		return eris.Wrap(fault.Draining, "gateway")
	}
	s.config = g.cfg.Current()
	if s.config == nil {
		return eris.Wrap(fault.Unavailable, "no configuration yet")
	}
	owner, err := g.cfg.Account(bearer(s.request))
	if err != nil {
		return err
	}
	s.account = owner
	defer func() {
		g.trace(s, "Request arrived.", zap.String("path", s.request.URL.Path), zap.Bool("keyed", s.key != ""))
	}()
	if key := s.request.Header.Get("Idempotency-Key"); key != "" {
		if len(key) > 200 {
			return eris.Wrap(fault.Malformed, "Idempotency-Key is longer than 200 bytes")
		}
		s.key, s.identity = key, key
	}
	return nil
}

// trace writes a debug line that belongs to a request. The lines of one
// request on all instances have the same identity in the field request.
func (g *Gateway) trace(s *session, text string, fields ...zap.Field) {
	if entry := g.cfg.Logger.Check(zap.DebugLevel, text); entry != nil {
		entry.Write(append(fields, zap.String("request", s.identity), zap.String("account", s.account.Name))...)
	}
}

// isOpen tells whether the venture takes new work at this time.
func (g *Gateway) isOpen(s *session) error {
	v := s.config.Venture()
	now := g.cfg.Now()
	switch {
	case g.cfg.Skew().Abs() > clockSkew:
		return eris.Wrap(fault.Unavailable, "the clock differs from the holder's by more than 500 ms")
	case now.Before(v.Start.Add(clockSkew)):
		return eris.Wrapf(fault.Closed, "the venture starts at %s", v.Start.Format(time.RFC3339))
	case !now.Before(v.End.Add(-clockSkew)):
		return eris.Wrapf(fault.Closed, "the venture ended at %s", v.End.Format(time.RFC3339))
	case g.cfg.Phase() == "dissolving" || g.cfg.Phase() == "closed":
		return eris.Wrapf(fault.Closed, "the venture is %s", g.cfg.Phase())
	}
	return nil
}

func bearer(r *http.Request) string {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return key
}
