package entry

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/allocator"
	"github.com/papayapond/papayapond/internal/balancer"
	"github.com/papayapond/papayapond/internal/detector"
	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/exchanger"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/finder"
	"github.com/papayapond/papayapond/internal/forwarder"
	"github.com/papayapond/papayapond/internal/gossiper"
	"github.com/papayapond/papayapond/internal/lender"
	"github.com/papayapond/papayapond/internal/limiter"
	"github.com/papayapond/papayapond/internal/listener"
	"github.com/papayapond/papayapond/internal/recoverer"
	"github.com/papayapond/papayapond/internal/regulator"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/shedder"
	"github.com/papayapond/papayapond/internal/spender"
	"github.com/papayapond/papayapond/internal/synchronizer"
	"github.com/papayapond/papayapond/internal/tracer"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// headerTimeout limits the time that a caller takes to send its header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the least time for which idle connections of callers are kept.
	// That of the ruleset may be longer. Callers close idle connections first.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a header.
	maxHeaderBytes = 64 << 10
	// drainDelay is how long the load balancer in front may send new
	// connections after the instance becomes unready: two checks a second
	// apart, and a margin.
	drainDelay = 3 * time.Second
	// closeTimeout limits the last call to the leader.
	closeTimeout = 300 * time.Millisecond
	// stopMargin is the rest of the grace period when requests that are still
	// in flight are aborted.
	stopMargin = time.Second
	// abortTimeout is the time in which the requests that are aborted then are answered.
	abortTimeout = 200 * time.Millisecond
	// coresUnreachableAfter is the silence of the core instances after which
	// nothing waits for them and lenders of other zones are asked. It means
	// that one call has failed.
	coresUnreachableAfter = 900 * time.Millisecond
	// crashReportInterval is the least time between two calls that are made at once
	// because a target has crashed. When a zone is cut off, connections of all
	// instances break together.
	crashReportInterval = time.Second
	// sweepInterval is the time between two checks for expired connections.
	sweepInterval = time.Second
)

// Config configures an Entry.
type Config struct {
	// Name is the name of the instance, Zone the zone.
	Name, Zone string
	// PeerAddress is the address for other entry instances.
	PeerAddress string
	// Bind is the address to listen on for them if it differs from PeerAddress.
	Bind string
	// Frontend is the address for callers, Readiness the one for readiness
	// checks.
	Frontend, Readiness string
	// ReadinessPath is the path of the readiness check.
	ReadinessPath string
	// Seeds returns the addresses of core instances from the settings.
	Seeds   func() []string
	Headers forwarder.Headers
	// RetryShare, RetrySlack and RetryWindow are passed to the forwarder.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// LinkCapacity is the capacity of the network link in each direction in
	// bytes per second; 0 if unknown.
	LinkCapacity float64
	// HeldBytes limits the bytes held for all requests; 0 stands for the default of
	// the limiter.
	HeldBytes int64
	// Grace is the grace period of a planned stop.
	Grace   time.Duration
	Observe func(forwarder.Report)
	OnDial  func()
	// OnLoan is called with the outcome of each loan that this instance
	// requests.
	OnLoan func(granted bool)
	// OnLookup is called with the source of what is known of a stream that a caller
	// takes up.
	OnLookup func(source string)
	// OnPanic, if not nil, is called with the name of each task that has panicked.
	OnPanic func(task string)
	Logger  *zap.Logger
}

// Entry is one entry instance.
type Entry struct {
	cfg       Config
	dialer    *dialer.Dialer
	balancer  *balancer.Balancer
	exchanger *exchanger.Exchanger
	recoverer *recoverer.Recoverer
	limiter   *limiter.Limiter // of the bytes held for requests
	spender   *spender.Spender
	lender    *lender.Lender
	gossiper  *gossiper.Gossiper
	shedder   *shedder.Shedder
	forwarder *forwarder.Forwarder
	sync      *synchronizer.Synchronizer
	evidence  *detector.Session // with the leader
	regulator *regulator.Regulator
	tracer    *tracer.Tracer // of the versions that began streams
	finder    *finder.Finder
	rules     atomic.Pointer[ruleset.Ruleset]
	reported  atomic.Pointer[time.Time] // when a crash was last reported at once
	stopping  atomic.Bool
	drained   atomic.Bool               // the drain delay is over
	abort     atomic.Pointer[time.Time] // of the requests in flight, set while the instance is stopping
}

// New returns an entry instance with a new incarnation.
func New(cfg Config) *Entry {
	e := &Entry{cfg: cfg, dialer: dialer.New(dialer.Config{}), tracer: tracer.New(tracer.Config{})}
	e.recoverer = recoverer.New(recoverer.Config{OnPanic: cfg.OnPanic, Logger: cfg.Logger.Named("recoverer")})
	e.exchanger = exchanger.New(exchanger.Config{EchoHeader: cfg.Headers.Attempt, OnDial: cfg.OnDial, Recoverer: e.recoverer})
	e.limiter = limiter.New(limiter.Config{Bytes: cfg.HeldBytes})
	e.regulator = regulator.New(regulator.Config{Self: cfg.PeerAddress, Logger: cfg.Logger.Named("regulator")})
	e.balancer = balancer.New(balancer.Config{
		Self: cfg.Name, Zone: cfg.Zone, Connected: e.exchanger.HasIdle, Admits: e.regulator.Admits, Take: e.regulator.Take,
		Confirmed: func() time.Time { return time.Now().Add(-e.sync.SinceContact()) }, Logger: cfg.Logger.Named("balancer"),
	})
	e.spender = spender.New(spender.Config{
		RequestSync:      func() { e.sync.Trigger() },
		Isolated:         func() bool { return e.sync.SinceContact() > allocator.IsolationTimeout },
		CoresUnreachable: func() bool { return e.sync.SinceContact() > coresUnreachableAfter },
		DemandShare:      func(account string) (float64, float64, bool) { return e.lender.DemandShare(account) },
		Borrow: func(ctx context.Context, account string, tokens int64) bool {
			return e.lender.Borrow(ctx, account, tokens)
		},
	})
	e.lender = lender.New(lender.Config{
		Self: cfg.PeerAddress, Zone: cfg.Zone, Lend: e.spender.Lend, Credit: e.spender.Credit, TakeSurplus: e.spender.TakeSurplus,
		Peer: func(address string) wire.DRPCLendingClient {
			return wire.NewDRPCLendingClient(e.dialer.Conn(address))
		},
		CoresUnreachable: func() bool { return e.sync.SinceContact() > coresUnreachableAfter },
		Observe:          cfg.OnLoan,
		Recoverer:        e.recoverer,
		Logger:           cfg.Logger.Named("lender"),
	})
	e.shedder = shedder.New(shedder.Config{Capacity: cfg.LinkCapacity, Logger: cfg.Logger.Named("shedder")})
	e.forwarder = forwarder.New(forwarder.Config{
		Headers: cfg.Headers, Balancer: e.balancer, Exchanger: e.exchanger, Spender: e.spender,
		RetryRatio: cfg.RetryShare, MinRetries: cfg.RetrySlack, RetryWindow: cfg.RetryWindow,
		CoreSilence: func() time.Duration { return e.sync.SinceContact() }, Observe: cfg.Observe, Logger: cfg.Logger.Named("forwarder"),
		Regulator:  e.regulator,
		Limiter:    e.limiter,
		Trace:      e.Trace,
		Record:     e.RecordOrigin,
		OnCrash:    e.reportCrash,
		CountBytes: e.shedder.CountBytes, CloseConnection: func() bool { return e.stopping.Load() || e.shedder.ShouldClose() },
		Abort: e.abortTime, Lenient: func() bool { return !e.drained.Load() }, Recoverer: e.recoverer,
	})
	e.gossiper = e.newGossiper()
	e.evidence = e.forwarder.Detector().NewSession()
	e.sync = synchronizer.New(synchronizer.Config{
		Instance: cfg.Name + "#" + strconv.FormatUint(rand.Uint64(), 16), Machine: cfg.Name, Zone: cfg.Zone, Seeds: cfg.Seeds,
		Address: cfg.PeerAddress, Boot: bootID(cfg.Logger), Clock: sinceBoot,
		Peer: func(name string) wire.DRPCSteeringClient {
			return wire.NewDRPCSteeringClient(e.dialer.Conn(name))
		},
		Allowances: e.spender.Declare, Loads: e.balancer.LocalLoads, Evidence: e.evidence.Request, TargetLimits: e.regulator.Report, Origins: e.tracer.Unsent,
		OnRuleset: e.applyRuleset, OnReply: e.applyReply, Recoverer: e.recoverer, Logger: cfg.Logger.Named("synchronizer"),
	})
	e.finder = e.newFinder()
	return e
}

// newGossiper returns the exchange of loads and crashes with other instances.
func (e *Entry) newGossiper() *gossiper.Gossiper {
	return gossiper.New(gossiper.Config{
		Self: e.cfg.PeerAddress, Zone: e.cfg.Zone, Loads: e.balancer.LocalLoads, UpdateLoads: e.balancer.SetRemoteLoads, Detector: e.forwarder.Detector(), Logger: e.cfg.Logger.Named("gossiper"),
		Peer: func(address string) wire.DRPCGossipClient {
			return wire.NewDRPCGossipClient(e.dialer.Conn(address))
		},
		CoresUnreachable: func() bool { return e.sync.SinceContact() > coresUnreachableAfter },
		Recoverer:        e.recoverer,
	})
}

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int { return e.forwarder.InFlight() }

// Version returns the version of the ruleset in force, or 0.
func (e *Entry) Version() uint64 { return e.sync.Version() }

// SinceContact returns the time since the core instances last answered.
func (e *Entry) SinceContact() time.Duration { return e.sync.SinceContact() }

// BlockedContents returns the number of contents that are blocked because they crash
// targets.
func (e *Entry) BlockedContents() int { return e.forwarder.Detector().Blocks() }

// LimitedTargets returns the number of targets that have named a limit.
func (e *Entry) LimitedTargets() int { return e.regulator.Limited() }

// RestingTargets returns the number of targets that have said that they are leaving or
// that they want no requests for a time.
func (e *Entry) RestingTargets() int { return e.balancer.Resting() }

// LinkShare returns the utilization of the network link.
func (e *Entry) LinkShare() float64 { return e.shedder.Utilization() }

// reportCrash calls a core instance at once, unless that was done a moment ago: the
// crash then goes with the next call.
func (e *Entry) reportCrash() {
	now := time.Now()
	if last := e.reported.Load(); last == nil || now.Sub(*last) >= crashReportInterval {
		e.reported.Store(&now)
		e.sync.Trigger()
	}
}

// isReady reports whether this instance should receive new callers. It checks for
// blocked requests first, because the other checks take locks.
func (e *Entry) isReady() bool {
	return !e.stopping.Load() && !e.isBlocked() && e.sync.Version() > 0 && e.balancer.NumReady() > 0 && !e.shedder.IsSaturated()
}

// Run serves until ctx ends, then lets requests in flight finish within the
// grace period.
func (e *Entry) Run(ctx context.Context) error {
	frontListener, err := e.listen(e.cfg.Frontend, e.limiter)
	if err != nil {
		return err
	}
	checkListener, err := e.listen(e.cfg.Readiness, e.limiter)
	if err != nil {
		return err
	}
	peerListener, err := e.listen(cmp.Or(e.cfg.Bind, e.cfg.PeerAddress), nil)
	if err != nil {
		return err
	}
	std := zap.NewStdLog(e.cfg.Logger.Named("http"))
	callers := &http.Server{
		Handler: frontListener.Handler(e.forwarder), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: frontListener.ConnState, ConnContext: frontListener.ConnContext, ErrorLog: std,
	}
	checks := &http.Server{Handler: e.readinessHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: checkListener.ConnState, ErrorLog: std}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { e.sync.Run(running) })
	group.Go(func() { e.sweep(running) })
	group.Go(func() { e.watchStalls(running) })
	group.Go(func() { e.lender.Run(running) })
	group.Go(func() { e.gossiper.Run(running) })
	group.Go(func() { e.servePeers(running, peerListener) })
	group.Go(func() { e.serve(callers, frontListener) })
	group.Go(func() { e.serve(checks, checkListener) })
	<-ctx.Done()
	e.stop(callers, frontListener)
	stop()
	if err := checks.Close(); err != nil {
		e.cfg.Logger.Warn("closing readiness server failed", zap.Error(err))
	}
	group.Wait()
	last, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if e.SinceContact() > coresUnreachableAfter {
		// The leader doesn't learn of the stop: once the next incarnation
		// starts, the tokens that this one holds would count as spent.
		e.lender.Return(last, e.spender.Drain())
	}
	if err := e.sync.Close(last, e.spender.Close()); err != nil {
		e.cfg.Logger.Warn("returning allowances failed", zap.Error(err))
	}
	return nil
}

// stop waits for the requests in flight and aborts the rest at the end of the
// grace period.
func (e *Entry) stop(callers *http.Server, front *listener.Listener) {
	// A request that may last longer is refused from now on: its caller has time to
	// go elsewhere, and nothing of it has run.
	abort := time.Now().Add(e.cfg.Grace - stopMargin)
	e.abort.Store(&abort)
	e.stopping.Store(true)
	e.cfg.Logger.Info("stopping", zap.Int("flight", e.forwarder.InFlight()), zap.Duration("grace", e.cfg.Grace))
	time.Sleep(min(drainDelay, e.cfg.Grace/2))
	// Load balancers send callers elsewhere now, where they can.
	e.drained.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), abort)
	defer cancel()
	if err := front.Drain(ctx); err != nil {
		e.cfg.Logger.Warn("requests aborted at the end of the grace period", zap.Int("flight", e.forwarder.InFlight()), zap.Error(err))
		e.forwarder.AbortRequests()
		last, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		if err := front.Drain(last); err != nil {
			e.cfg.Logger.Warn("connections cut at the end of the grace period", zap.Int("flight", e.forwarder.InFlight()), zap.Error(err))
		}
	}
	_ = callers.Close() // the connections that are left end with the process
}

// abortTime returns the time at which the requests in flight are aborted, or the zero
// time if this instance isn't stopping.
func (e *Entry) abortTime() time.Time {
	if abort := e.abort.Load(); abort != nil {
		return *abort
	}
	return time.Time{}
}

func (e *Entry) listen(address string, heads *limiter.Limiter) (*listener.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(fault.Unavailable, "listen on %s: %v", address, err)
	}
	return listener.New(listener.Config{Listener: l, MinIdle: e.minIdle, Limiter: heads, Logger: e.cfg.Logger.Named("listener")}), nil
}

func (e *Entry) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		e.cfg.Logger.Error("serving failed", zap.Stringer("address", l.Addr()), zap.Error(err))
	}
}

// readinessHandler answers readiness checks.
func (e *Entry) readinessHandler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(e.cfg.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return m
}

// sweep closes expired connections to targets.
func (e *Entry) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.recoverer.Run("sweep", func() { e.exchanger.PruneIdle(e.balancer.HasAddress) })
		}
	}
}
