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

// Names under which the parts register their services.
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
	// Level is the level of the logger, which operators can change; nil if
	// they can't.
	Level *zap.AtomicLevel
	// Listen replaces net.Listen if it isn't nil.
	Listen func(network, address string) (net.Listener, error)
}

// Daemon is one instance of the fleet.
type Daemon struct {
	app *fx.App
}

// builder holds what the parts are built from.
type builder struct {
	settings settings.Settings
	logger   *zap.Logger
	level    *zap.AtomicLevel
	listen   func(network, address string) (net.Listener, error)
	// certifier is nil without TLS between instances.
	certifier *certifier.Certifier
	mux       *drpcmux.Mux
	peers     *peers
	link      *link
	// inFlight returns the number of requests in flight once the gateway has
	// been built.
	inFlight atomic.Pointer[func() int]
}

// New builds a daemon. The error tells which part can't be built.
func New(cfg Config) (*Daemon, error) {
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	s := cfg.Settings
	if err := os.MkdirAll(s.Data, 0o700); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "data folder: %v", err)
	}
	secure, err := newCertifier(s, cfg.Logger)
	if err != nil {
		return nil, err
	}
	b := &builder{settings: s, logger: cfg.Logger, level: cfg.Level, listen: cfg.Listen, certifier: secure, mux: drpcmux.New()}
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

// Start starts all parts.
func (d *Daemon) Start(ctx context.Context) error { return eris.Wrap(d.app.Start(ctx), "start") }

// Stop drains the instance and stops all parts.
func (d *Daemon) Stop(ctx context.Context) error { return eris.Wrap(d.app.Stop(ctx), "stop") }

// find returns a service and keeps the first error, so that a part can look up
// all that it needs before one check.
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

// holders returns the names of all holders, that of the own zone first. The
// order is the same on all instances of a zone.
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

// others returns the names of the other holders.
func (b *builder) others() []string {
	var names []string
	for _, h := range b.settings.Holders() {
		if h != b.settings.Name {
			names = append(names, h)
		}
	}
	return names
}

// holdersByZone returns the name of the holder of each zone.
func (b *builder) holdersByZone() map[string]string {
	names := map[string]string{}
	for _, p := range b.settings.Peers {
		if p.Disk {
			names[p.Zone] = p.Name
		}
	}
	return names
}

// zones returns the sorted names of the zones that have a holder.
func (b *builder) zones() []string {
	return slices.Sorted(maps.Keys(b.holdersByZone()))
}

// flight returns the number of requests in flight on this instance.
func (b *builder) flight() int {
	if f := b.inFlight.Load(); f != nil {
		return (*f)()
	}
	return 0
}
