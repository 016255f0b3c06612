package racer

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/admitter"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/dispatcher"
	"github.com/papayapond/papayapond/internal/ejector"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/gateway"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/retrier"
	"github.com/papayapond/papayapond/internal/router"
	"github.com/papayapond/papayapond/internal/wire"
	"github.com/papayapond/papayapond/pkg/account"
	"github.com/papayapond/papayapond/pkg/group"
	settled "github.com/papayapond/papayapond/pkg/model"
	"github.com/papayapond/papayapond/pkg/printer"
	"github.com/papayapond/papayapond/pkg/venture"
)

// entry is the path of a request through one instance, with all parts but the
// books: every reservation succeeds.
type entry struct {
	registry   *registry.Registry
	dispatcher *dispatcher.Dispatcher
	gateway    *gateway.Gateway
}

func newEntry(cfg Config, c *configuration.Configuration) (*entry, error) {
	e := &entry{registry: registry.New(registry.Config{})}
	health := ejector.New(ejector.Config{})
	budget := retrier.New(retrier.Config{})
	choice, err := router.New(router.Config{Zone: zone, Policy: cfg.Policy, Ready: func(zone, model, service string) []*wire.Target {
		return health.Filter(e.registry.Ready(zone, model, service))
	}})
	if err != nil {
		return nil, err
	}
	admit := admitter.New(admitter.Config{Zone: zone, Ready: e.registry.Ready, Instances: func(string) int { return cfg.Entries }}).Admit
	if cfg.Unbounded {
		admit = func(context.Context, string, string, string, int64, string) (started, release func(), err error) {
			return func() {}, func() {}, nil
		}
	}
	e.dispatcher = dispatcher.New(dispatcher.Config{
		Pick: choice.Pick, CountJob: budget.RecordRequest, AllowRetry: budget.AllowRetry, RecordSuccess: health.RecordSuccess, RecordFailure: health.RecordFailure,
		Blocked: func([]byte) bool { return false }, RecordCrash: func([]byte, string) {}, Clear: func([]byte) {}, Logger: cfg.Logger,
	})
	e.gateway = gateway.New(gateway.Config{
		Zone:    zone,
		Current: func() *configuration.Configuration { return c },
		Phase:   func() string { return "open" },
		Skew:    func() time.Duration { return 0 },
		Account: func(key string) (account.Account, error) {
			if a, ok := c.Account(key); ok {
				return a, nil
			}
			return account.Account{}, eris.Wrap(fault.Unauthorized, "key")
		},
		Reserve: func(context.Context, string, int64) (uint64, error) { return 0, nil },
		Settle: func(context.Context, uint64, *wire.Bill) (wire.Outcome, error) {
			return wire.Outcome_OUTCOME_BILLED, nil
		},
		Cancel: func(uint64) {}, Do: e.dispatcher.Do, Admit: admit, ReadyTargets: e.registry.Ready, Logger: cfg.Logger,
	})
	return e, nil
}

// book returns the accounts as the load generator and as a gateway want them.
// The key of an account is its name.
func book() (clients []string, c *configuration.Configuration) {
	now := time.Now()
	v := venture.New("race", now.AddDate(0, 0, -1), now.AddDate(0, 0, 1)).
		WithModels(settled.New(model, 256, 32768)).
		WithGroups(group.New("engine", "engine").WithKey(account.Hash([]byte("race salt"), "engine"))).
		WithOperator("owner", account.Hash([]byte("race salt"), "owner"))
	for i := range accounts {
		name, share := name(i)
		clients = append(clients, fmt.Sprintf("%s:%s:%d", name, name, share))
		v = v.WithAccounts(account.New(name, 1).WithKeys(account.Hash([]byte("race salt"), name)).WithModels(model).WithGroups("engine"))
	}
	c, err := configuration.Parse(printer.Text(v))
	if err != nil {
		panic(err) // the configuration is a constant
	}
	return clients, c
}
