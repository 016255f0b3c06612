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
	// maxBodySize is the maximum size of a request body, in bytes.
	maxBodySize = 4 << 20
	// maxHeadBytes is the maximum size of the head of a target's response.
	maxHeadBytes = 256 << 10
	// lookupTimeout bounds the lookup of a request in the ledger.
	lookupTimeout = 100 * time.Millisecond
	// maxClockSkew is the documented bound on the clock skew between instances.
	maxClockSkew = 500 * time.Millisecond
	// maxStoredResponse is the maximum size, in bytes, of a response that is
	// stored for a retry.
	maxStoredResponse = 256 << 10
)

// Config configures a Gateway.
type Config struct {
	// Zone is the zone of this instance.
	Zone string
	// Current returns the current configuration, or nil.
	Current func() *configuration.Configuration
	// Synced reports whether this instance knows the state of the fleet.
	Synced func() bool
	// Phase returns the phase of the venture.
	Phase func() string
	// Skew returns the measured clock skew relative to a holder.
	Skew func() time.Duration
	// Account returns the account that a key belongs to. Group returns the group
	// of a target if the key is the one of the group.
	Account func(key string) (account.Account, error)
	Group   func(target, key string) (group.Group, error)
	// Reserve, Settle and Cancel reserve tokens of an account on this instance,
	// bill them, and release them.
	Reserve func(ctx context.Context, account string, amount int64) (uint64, error)
	Settle  func(ctx context.Context, reservation uint64, bill *wire.Bill) (wire.Outcome, error)
	Cancel  func(reservation uint64)
	// Find looks up a request in the ledger.
	Find func(ctx context.Context, request *wire.FindRequest) (*wire.FindReply, error)
	// Propose submits a command to the control group, Read reads its state.
	Propose func(ctx context.Context, command *wire.Command) (*wire.ProposeReply, error)
	Read    func(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
	// Do runs a job on a target.
	Do func(ctx context.Context, job dispatcher.Job, consume func(target *wire.Target, r *http.Response) (bool, error)) (string, error)
	// Admit waits until a request to a model or a service may be sent. The caller
	// calls started when the response begins and release when it has ended.
	Admit func(ctx context.Context, model, service, account string, weight int64, class string) (started, release func(), err error)
	// ReadyTargets returns the ready targets for a model or a service.
	ReadyTargets func(zone, model, service string) []*wire.Target
	// Announce forwards the announcement of a target.
	Announce func(ctx context.Context, t *wire.Target) error
	// Self returns the name and incarnation of this instance.
	Self func() *wire.Holding
	// DrainDelay is the time between failing the readiness check and refusing new
	// requests. It gives load balancers time to stop sending requests.
	DrainDelay time.Duration
	// Observe records the metrics of a finished request. It may be nil.
	Observe func(RequestMetrics)
	Now     func() time.Time
	Logger  *zap.Logger
}

// RequestMetrics holds the metrics of a finished request.
type RequestMetrics struct {
	Account, Class, Code string
	// FirstToken is the time to the first token of a stream, 0 if there was none.
	// It is 0 for non-streaming responses, whose time depends on their length and
	// would hide slow streams.
	FirstToken, Total time.Duration
	// InterToken holds the times between tokens of a stream.
	InterToken []time.Duration
	Billed     int64
	// ExceededBound reports whether the engine reported more usage than was
	// reserved. Only the reserved amount is billed.
	ExceededBound bool
}

// Gateway is the HTTP handler for callers and targets.
type Gateway struct {
	cfg      Config
	mux      *mux.Router
	client   *http.Client
	stopping atomic.Bool // the readiness check fails
	draining atomic.Bool // new requests are refused
	inFlight atomic.Int64
	handlers sync.WaitGroup

	mu         sync.Mutex
	unresolved map[string]*wire.Resolve // claims that may have been committed, by account and request ID
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	g := &Gateway{cfg: cfg, mux: mux.NewRouter().UseEncodedPath(), client: newClient(), unresolved: map[string]*wire.Resolve{}}
	g.mux.HandleFunc("/v1/chat/completions", g.serve("json", g.chat)).Methods(http.MethodPost)
	g.mux.HandleFunc("/v1/services/{name}/{path:.*}", g.serve("service", g.service))
	g.mux.HandleFunc("/v1/models", g.serve("", g.models)).Methods(http.MethodGet)
	g.mux.HandleFunc("/v1/requests/{key}", g.serve("", g.requestStatus)).Methods(http.MethodGet)
	g.mux.HandleFunc("/v1/targets", g.announce).Methods(http.MethodPost)
	g.mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	g.mux.HandleFunc("/readyz", g.readiness)
	return g
}

// newClient returns the client for requests about prompts to targets.
func newClient() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxResponseHeaderBytes: maxHeadBytes, IdleConnTimeout: time.Minute}}
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Drain fails the readiness check, refuses new requests after DrainDelay, and
// waits until no requests are in flight or ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	g.stopping.Store(true)
	select {
	case <-time.After(g.cfg.DrainDelay):
	case <-ctx.Done():
	}
	g.draining.Store(true)
	done := make(chan struct{})
	go func() {
		g.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Errorf("%d requests still in flight", g.InFlight())
	}
}

// IsReady reports whether the instance accepts requests.
func (g *Gateway) IsReady() bool {
	return !g.stopping.Load() && g.cfg.Current() != nil && g.cfg.Synced()
}

func (g *Gateway) readiness(w http.ResponseWriter, _ *http.Request) {
	if !g.IsReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// requestState is the state of one request of a caller.
type requestState struct {
	http.ResponseWriter
	request *http.Request
	account account.Account
	config  *configuration.Configuration
	start   time.Time
	// key is the Idempotency-Key, or empty. requestID is the key, or random if
	// there is none.
	key, requestID string
	digest         []byte
	metrics        RequestMetrics
	started        bool // the status line has been written
}

// serve authenticates the caller, calls handle and writes its error as the
// response. The class applies until handle has parsed the request; requests
// without a class are not observed.
func (g *Gateway) serve(class string, handle func(*requestState) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.handlers.Add(1)
		defer g.handlers.Done()
		g.inFlight.Add(1)
		defer g.inFlight.Add(-1)
		s := &requestState{ResponseWriter: w, request: r, start: g.cfg.Now(), metrics: RequestMetrics{Class: class}}
		err := g.authenticate(s)
		w.Header().Set(dispatcher.RequestHeader, s.requestID)
		if err == nil {
			err = handle(s)
		}
		if err != nil {
			g.writeError(s, err)
		}
		s.metrics.Account = s.account.Name
		s.metrics.Total = g.cfg.Now().Sub(s.start)
		g.trace(s, "request ended", zap.String("code", s.metrics.Code), zap.Int64("billed", s.metrics.Billed), zap.Duration("total", s.metrics.Total))
		if g.cfg.Observe != nil && s.metrics.Class != "" {
			g.cfg.Observe(s.metrics)
		}
	}
}

func (g *Gateway) authenticate(s *requestState) error {
	s.requestID = newRequestID()
	if g.draining.Load() {
		return eris.Wrap(fault.Draining, "gateway")
	}
	s.config = g.cfg.Current()
	if s.config == nil {
		return eris.Wrap(fault.Unavailable, "no configuration received yet")
	}
	acct, err := g.cfg.Account(bearer(s.request))
	if err != nil {
		return err
	}
	s.account = acct
	defer func() {
		g.trace(s, "request received", zap.String("path", s.request.URL.Path), zap.Bool("keyed", s.key != ""))
	}()
	if key := s.request.Header.Get("Idempotency-Key"); key != "" {
		if len(key) > 200 {
			return eris.Wrap(fault.Malformed, "Idempotency-Key is longer than 200 bytes")
		}
		s.key, s.requestID = key, key
	}
	return nil
}

// trace writes a debug line about a request. The field request holds the same ID
// in the lines of all instances.
func (g *Gateway) trace(s *requestState, text string, fields ...zap.Field) {
	if entry := g.cfg.Logger.Check(zap.DebugLevel, text); entry != nil {
		entry.Write(append(fields, zap.String("request", s.requestID), zap.String("account", s.account.Name))...)
	}
}

// checkOpen returns an error if the venture does not accept requests now.
func (g *Gateway) checkOpen(s *requestState) error {
	v := s.config.Venture()
	now := g.cfg.Now()
	switch {
	case g.cfg.Skew().Abs() > maxClockSkew:
		return eris.Wrap(fault.Unavailable, "clock skew to the holder exceeds 500 ms")
	case now.Before(v.Start.Add(maxClockSkew)):
		return eris.Wrapf(fault.Closed, "the venture starts at %s", v.Start.Format(time.RFC3339))
	case !now.Before(v.End.Add(-maxClockSkew)):
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
