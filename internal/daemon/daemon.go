package daemon

import (
	"context"
	"maps"
	"net"
	"os"
	"slices"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/certifier"
	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/settings"
)

// Names under which components register their services.
const (
	nameDialer        = "dialer"
	nameMux           = "mux"
	nameRegistry      = "registry"
	nameBlocker       = "blocker"
	nameReplicator    = "replicator"
	nameController    = "controller"
	nameHolder        = "holder"
	nameMember        = "member"
	namePublisher     = "publisher"
	nameSubscriber    = "subscriber"
	nameAuthenticator = "authenticator"
	nameReserver      = "reserver"
	nameRetrier       = "retrier"
	nameEjector       = "ejector"
	nameRouter        = "router"
	nameDispatcher    = "dispatcher"
	nameAdmitter      = "admitter"
	nameGateway       = "gateway"
	nameReporter      = "reporter"
)

// Config configures a Daemon.
type Config struct {
	Settings settings.Settings
	Logger   *zap.Logger
	// Level is the log level of Logger. Operators can change it unless it is
	// nil.
	Level *zap.AtomicLevel
	// Listen defaults to net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// Daemon is a running instance.
type Daemon struct {
	app *fx.App
}

// builder holds the dependencies that components share.
type builder struct {
	settings settings.Settings
	logger   *zap.Logger
	level    *zap.AtomicLevel
	listen   func(network, address string) (net.Listener, error)
	// certifier is nil if TLS between instances is off.
	certifier     *certifier.Certifier
	mux           *drpcmux.Mux
	peers         *peers
	replicatorRef *replicatorRef
	// inFlight returns the number of requests in flight. It is nil until the
	// gateway has been built.
	inFlight atomic.Pointer[func() int]
}

// New builds a daemon. Its error names the component that failed to build.
func New(cfg Config) (*Daemon, error) {
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	s := cfg.Settings
	if err := os.MkdirAll(s.Data, 0o700); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "create data directory: %v", err)
	}
	certs, err := newCertifier(s, cfg.Logger)
	if err != nil {
		return nil, err
	}
	b := &builder{settings: s, logger: cfg.Logger, level: cfg.Level, listen: cfg.Listen, certifier: certs, mux: drpcmux.New()}
	parts := []fx.Option{b.dialer(), b.peerServer(), b.registry(), b.blocker()}
	if s.Disk {
		parts = append(parts, b.controller(), b.replicator())
	}
	parts = append(parts, b.authenticator(), b.subscriber(), b.member())
	if s.Disk {
		parts = append(parts, b.holder(), b.publisher(), b.neighbors(), b.dissolver(), b.issuer())
	}
	parts = append(parts, b.fleet(), b.ejector(), b.retrier(), b.admitter(), b.reporter(), b.reserver(), b.resubmitter(), b.router(), b.dispatcher(), b.gateway(), b.operator())
	if !s.Disk {
		parts = append(parts, b.witness())
	}
	app := kernel.New(cfg.Logger, s.DrainTimeout(), parts...)
	if err := app.Err(); err != nil {
		return nil, eris.Wrap(err, "build")
	}
	return &Daemon{app: app}, nil
}

// Start starts all components.
func (d *Daemon) Start(ctx context.Context) error { return eris.Wrap(d.app.Start(ctx), "start") }

// Stop drains the instance and stops all components.
func (d *Daemon) Stop(ctx context.Context) error { return eris.Wrap(d.app.Stop(ctx), "stop") }

// find returns the named service. It sets *err only if *err is nil, so a
// component can look up all its dependencies and check the error once.
func find[T any](k *kernel.Kernel, name string, err *error) T {
	service, missing := kernel.Find[T](k, name)
	if *err == nil {
		*err = missing
	}
	return service
}

func (b *builder) dialer() fx.Option {
	return kernel.Part(nameDialer, func(*kernel.Kernel) (any, fx.Hook, error) {
		addresses := map[string]string{}
		for _, p := range b.settings.Peers {
			addresses[p.Name] = p.Address
		}
		cfg := dialer.Config{Addresses: addresses}
		if b.certifier != nil {
			cfg.TLS = b.certifier.Client
		}
		d := dialer.New(cfg)
		b.peers = &peers{dialer: d}
		return d, fx.Hook{OnStop: func(context.Context) error { return d.Close() }}, nil
	})
}

func (b *builder) registry() fx.Option {
	return kernel.Part(nameRegistry, func(*kernel.Kernel) (any, fx.Hook, error) {
		return registry.New(registry.Config{}), fx.Hook{}, nil
	})
}

func (b *builder) blocker() fx.Option {
	return kernel.Part(nameBlocker, func(*kernel.Kernel) (any, fx.Hook, error) {
		return blocker.New(blocker.Config{}), fx.Hook{}, nil
	})
}

// holders returns the names of all holders, starting with the holder of the
// local zone. All instances of a zone use the same order.
func (b *builder) holders() []string {
	home := b.settings.Holder(b.settings.Zone)
	var names []string
	if home != "" {
		names = append(names, home)
	}
	for _, h := range b.settings.Holders() {
		if h != home {
			names = append(names, h)
		}
	}
	return names
}

// otherHolders returns the names of all holders except this instance.
func (b *builder) otherHolders() []string {
	var names []string
	for _, h := range b.settings.Holders() {
		if h != b.settings.Name {
			names = append(names, h)
		}
	}
	return names
}

// holdersByZone maps each zone to the name of its holder.
func (b *builder) holdersByZone() map[string]string {
	names := map[string]string{}
	for _, p := range b.settings.Peers {
		if p.Disk {
			names[p.Zone] = p.Name
		}
	}
	return names
}

// zones returns the names of the zones that have a holder, in sorted order.
func (b *builder) zones() []string {
	return slices.Sorted(maps.Keys(b.holdersByZone()))
}

// countInFlight returns the number of requests in flight on this instance, or 0
// until the gateway has been built.
func (b *builder) countInFlight() int {
	if f := b.inFlight.Load(); f != nil {
		return (*f)()
	}
	return 0
}
