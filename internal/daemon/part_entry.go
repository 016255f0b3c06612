package daemon

import (
	"context"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"go.uber.org/fx"

	"github.com/papayapond/papayapond/internal/admitter"
	"github.com/papayapond/papayapond/internal/authenticator"
	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/gateway"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/member"
	"github.com/papayapond/papayapond/internal/operator"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/reporter"
	"github.com/papayapond/papayapond/internal/reserver"
	"github.com/papayapond/papayapond/internal/subscriber"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
)

// drainDelay gives a load balancer that checks readiness once per second time to
// notice that the instance is draining.
const drainDelay = 1500 * time.Millisecond

func (b *builder) authenticator() fx.Option {
	return kernel.Part(nameAuthenticator, func(*kernel.Kernel) (any, fx.Hook, error) {
		return authenticator.New(authenticator.Config{}), fx.Hook{}, nil
	})
}

// isBootstrapKey reports whether key is the bootstrap key from the settings,
// which is valid until the first configuration names the operators.
func (b *builder) isBootstrapKey(key string) bool {
	salt, _, _ := strings.Cut(b.settings.Bootstrap, ":")
	raw, err := hex.DecodeString(salt)
	if err != nil || len(raw) < account.MinSalt || key == "" {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(account.Hash(raw, key)), []byte(b.settings.Bootstrap)) == 1
}

func (b *builder) gateway() fx.Option {
	return kernel.Part(nameGateway, func(k *kernel.Kernel) (any, fx.Hook, error) {
		cfg := gateway.Config{
			Zone: b.settings.Zone,
			Find: func(ctx context.Context, q *wire.FindRequest) (*wire.FindReply, error) {
				return failover(ctx, b.holders(), callTimeout, func(ctx context.Context, name string) (*wire.FindReply, error) {
					return b.peers.books(name).Find(ctx, q)
				})
			},
			Propose:    b.peers.propose(b.holders()),
			Read:       b.peers.read(b.holders()),
			DrainDelay: drainDelay,
			Logger:     k.Logger(nameGateway),
		}
		m, err := b.configureGateway(k, &cfg)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		g := gateway.New(cfg)
		inFlight := g.InFlight
		b.inFlight.Store(&inFlight)
		hook := b.httpServer(nameGateway, b.settings.Public, g)
		shutdown := hook.OnStop
		hook.OnStop = func(ctx context.Context) error {
			m.Drain()
			if err := g.Drain(ctx); err != nil {
				return err
			}
			return shutdown(ctx)
		}
		return g, hook, nil
	})
}

// configureGateway fills in the dependencies of the gateway on other components.
func (b *builder) configureGateway(k *kernel.Kernel, cfg *gateway.Config) (*member.Member, error) {
	var err error
	s := find[*subscriber.Subscriber](k, nameSubscriber, &err)
	m := find[*member.Member](k, nameMember, &err)
	a := find[*authenticator.Authenticator](k, nameAuthenticator, &err)
	r := find[*reserver.Reserver](k, nameReserver, &err)
	d := find[*dispatcher.Dispatcher](k, nameDispatcher, &err)
	admit := find[*admitter.Admitter](k, nameAdmitter, &err)
	targets := find[*registry.Registry](k, nameRegistry, &err)
	report := find[*reporter.Reporter](k, nameReporter, &err)
	if err != nil {
		return nil, err
	}
	cfg.Synced = syncedFunc(s, targets)
	cfg.Current, cfg.Phase, cfg.Announce = s.Current, s.Phase, s.Announce
	cfg.Skew, cfg.Self = m.ClockSkew, m.Holding
	cfg.Account, cfg.Group = a.Account, a.Group
	cfg.Reserve = func(ctx context.Context, name string, amount int64) (uint64, error) {
		ticket, err := r.Reserve(ctx, name, amount)
		report.ObserveReservation(err)
		return ticket, err
	}
	find := cfg.Find
	cfg.Find = func(ctx context.Context, q *wire.FindRequest) (*wire.FindReply, error) {
		start := time.Now()
		reply, err := find(ctx, q)
		report.ObserveCall("find", start, reply.GetFault(), err)
		return reply, err
	}
	cfg.Settle, cfg.Cancel = r.Settle, r.Cancel
	cfg.Do, cfg.Admit = d.Do, admit.Admit
	cfg.Observe = report.Observe
	cfg.ReadyTargets = targets.Ready
	return m, nil
}

// syncedFunc returns the readiness condition of the gateway. It holds once a
// holder has sent its state and either each model has a ready target or
// registry.TTL has passed, which gives all targets time to announce themselves.
func syncedFunc(s *subscriber.Subscriber, targets *registry.Registry) func() bool {
	start := time.Now()
	return func() bool {
		c := s.Current()
		if c == nil || !s.IsSynced() {
			return false
		}
		if time.Since(start) > registry.TTL {
			return true
		}
		for _, m := range c.Venture().Models {
			if len(targets.Ready("", m.Name, "")) == 0 {
				return false
			}
		}
		return true
	}
}

func (b *builder) operator() fx.Option {
	return kernel.Part("operator", func(k *kernel.Kernel) (any, fx.Hook, error) {
		var err error
		a := find[*authenticator.Authenticator](k, nameAuthenticator, &err)
		s := find[*subscriber.Subscriber](k, nameSubscriber, &err)
		if err != nil {
			return nil, fx.Hook{}, err
		}
		holders := b.holdersByZone()
		cfg := operator.Config{
			Authenticate: func(key string) (string, error) {
				if s.Current() == nil && b.isBootstrapKey(key) {
					return "bootstrap", nil
				}
				return a.Operator(key)
			},
			Propose: b.peers.propose(b.holders()),
			Read:    b.peers.read(b.holders()),
			Tally:   b.peers.tally(holders),
			List: func(ctx context.Context) (*wire.ListReply, error) {
				return failover(ctx, b.holders(), callTimeout, func(ctx context.Context, name string) (*wire.ListReply, error) {
					return b.peers.fleet(name).List(ctx, &wire.ListRequest{})
				})
			},
			Zones:  b.zones(),
			Level:  b.level,
			Logger: k.Logger("operator"),
		}
		var handler http.Handler = operator.New(cfg)
		return handler, b.httpServer("operator", b.settings.Operator, handler), nil
	})
}
