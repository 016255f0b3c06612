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
	// Listener takes the connections. Run closes it.
	Listener net.Listener
	Handler  http.Handler
	// Work does the work of the target until its context ends, if not nil.
	Work func(context.Context)
	// Entries and Key are those of announcer.Config.
	Entries []string
	Key     string
	// Report returns the announcement.
	Report func() *wire.Target
	// Leave makes Report say that the target is leaving.
	Leave func()
	// Grace is the time for which a leaving target still accepts requests.
	Grace time.Duration
	// DrainTimeout bounds the wait for running requests after Grace.
	DrainTimeout time.Duration
	Logger       *zap.Logger
}

// Host runs one target.
type Host struct {
	cfg  Config
	mu   sync.Mutex
	gone bool
}

// New returns a host that does nothing until Run.
func New(cfg Config) *Host { return &Host{cfg: cfg} }

// Run serves until ctx ends, then leaves: it announces this at once, accepts
// requests for Grace longer, and waits until those that it has are finished.
// The error wraps fault.Interrupted if Drain was too short.
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
	server := &http.Server{Handler: l.route(h.cfg.Handler), ReadHeaderTimeout: 10 * time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	select {
	case err := <-served:
		return eris.Wrapf(fault.Unavailable, "serve: %v", err)
	case <-ctx.Done():
	}
	h.cfg.Logger.Info("Leaving.", zap.Duration("grace", h.cfg.Grace))
	h.cfg.Leave()
	a.Announce(work)
	time.Sleep(h.cfg.Grace)
	drain, cancel := context.WithTimeout(work, h.cfg.DrainTimeout)
	defer cancel()
	err := server.Shutdown(drain)
	_ = server.Close() // ends the requests that Shutdown did not wait for
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		h.cfg.Logger.Warn("Serving ended.", zap.Error(err))
	}
	h.mu.Lock()
	h.gone = true
	h.mu.Unlock()
	a.Announce(work)
	if errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrapf(fault.Interrupted, "requests are still running after %v", h.cfg.DrainTimeout)
	}
	return nil
}

func (h *Host) report() *wire.Target {
	t := h.cfg.Report()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		t.State = "gone"
	}
	return t
}
