package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/announcer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// Config configures a Host.
type Config struct {
	// Listener accepts the connections. Run closes it.
	Listener net.Listener
	Handler  http.Handler
	// Work runs the target's background work until its context ends; may be
	// nil.
	Work func(context.Context)
	// Entries and Key are passed to the announcer.
	Entries []string
	Key     string
	// Report returns the current announcement.
	Report func() *wire.Target
	// Leave makes Report announce that the target is leaving.
	Leave func()
	// Grace is how long a leaving target still accepts requests.
	Grace time.Duration
	// DrainTimeout limits the wait for running requests after Grace.
	DrainTimeout time.Duration
	Logger       *zap.Logger
}

// Host runs one target.
type Host struct {
	cfg     Config
	mu      sync.Mutex
	stopped bool
}

// New returns a host. Run starts it.
func New(cfg Config) *Host { return &Host{cfg: cfg} }

// Run serves until ctx ends, then leaves: it announces this immediately,
// accepts requests for Grace, and waits for the running requests. The error
// wraps fault.Interrupted if DrainTimeout expires first.
func (h *Host) Run(ctx context.Context) error {
	a := announcer.New(announcer.Config{
		Entries: h.cfg.Entries, Key: h.cfg.Key, Report: h.report, Logger: h.cfg.Logger.Named("announcer"),
	})
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	if h.cfg.Work != nil {
		wg.Go(func() { h.cfg.Work(work) })
	}
	wg.Go(func() { a.Run(work) })
	l := newListener(h.cfg.Listener)
	server := &http.Server{Handler: l.withSilenceHandler(h.cfg.Handler), ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return eris.Wrapf(fault.Unavailable, "serve: %v", err)
	case <-ctx.Done():
	}
	h.cfg.Logger.Info("leaving", zap.Duration("grace", h.cfg.Grace))
	h.cfg.Leave()
	a.Announce(work)
	time.Sleep(h.cfg.Grace)
	drain, cancel := context.WithTimeout(work, h.cfg.DrainTimeout)
	defer cancel()
	err := server.Shutdown(drain)
	_ = server.Close() // aborts the requests that Shutdown did not wait for
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		h.cfg.Logger.Warn("server ended unexpectedly", zap.Error(err))
	}
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	a.Announce(work)
	if errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrapf(fault.Interrupted, "requests still running after a drain timeout of %v", h.cfg.DrainTimeout)
	}
	return nil
}

func (h *Host) report() *wire.Target {
	t := h.cfg.Report()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		t.State = "gone"
	}
	return t
}
