package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/client"
	"github.com/papayapond/papayapond/internal/daemon"
	"github.com/papayapond/papayapond/internal/engine"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/host"
	"github.com/papayapond/papayapond/internal/orderer"
	"github.com/papayapond/papayapond/internal/sampler"
	"github.com/papayapond/papayapond/internal/settings"
)

const (
	serversPerInstance = 4
	startTimeout       = 20 * time.Second
	pollInterval       = 100 * time.Millisecond
	engineSlots        = 16
	engineQueue        = 256
)

// Config configures a Demo.
type Config struct {
	// Data is the folder for the data of all instances.
	Data string
	// Zones are the numbers of instances in each zone.
	Zones []int
	// Budget is the prepaid budget of each account, in tokens.
	Budget int64
	Logger *zap.Logger
	// Level is the level of the logger, shared by all instances; nil if
	// operators can't change it.
	Level *zap.AtomicLevel
}

// Demo is a running fleet.
type Demo struct {
	cfg       Config
	listeners []net.Listener
	sampler   *sampler.Sampler
	daemons   []*daemon.Daemon
	stop      context.CancelFunc
	targets   []chan error
}

// New opens the listeners of a fleet.
func New(cfg Config) (*Demo, error) {
	d := &Demo{cfg: cfg}
	total := 0
	for _, n := range cfg.Zones {
		total += n
	}
	for range total * serversPerInstance {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrapf(fault.Unavailable, "listen: %v", err)
		}
		d.listeners = append(d.listeners, l)
	}
	now := time.Now().UTC().Truncate(24 * time.Hour)
	d.sampler = sampler.New(sampler.Config{
		Zones: cfg.Zones, Data: cfg.Data, Budget: cfg.Budget, Address: d.address,
		Start: now.AddDate(0, 0, -1), End: now.AddDate(1, 0, 0),
	})
	return d, nil
}

// Public returns the callers' address of the i-th instance.
func (d *Demo) Public(i int) string { return d.address(i, 0) }

// Operator returns the operators' address of the i-th instance.
func (d *Demo) Operator(i int) string { return d.address(i, 1) }

// Client returns a client of the operators' API of the i-th instance.
func (d *Demo) Client(i int) *client.Client {
	return client.New(client.Config{Address: d.Operator(i), Key: sampler.OperatorKey})
}

// Start starts the instances, submits the sample configuration, starts the
// stand-in targets and waits until the fleet serves.
func (d *Demo) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range d.sampler.Names() {
		s, err := settings.Parse(d.sampler.Names()[i], d.sampler.Settings(i))
		if err != nil {
			return err
		}
		built, err := daemon.New(daemon.Config{Settings: s, Logger: d.cfg.Logger.With(zap.String("instance", s.Name)), Level: d.cfg.Level, Listen: d.listen})
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, built)
		if err := built.Start(ctx); err != nil {
			return err
		}
	}
	if err := d.submit(ctx); err != nil {
		return err
	}
	if err := d.startTargets(); err != nil {
		return err
	}
	return d.wait(ctx)
}

// Stop stops the targets and all instances.
func (d *Demo) Stop(ctx context.Context) error {
	if d.stop != nil {
		d.stop()
	}
	var first error
	for _, done := range d.targets {
		if err := <-done; err != nil && first == nil {
			first = err
		}
	}
	for _, s := range d.daemons {
		if err := s.Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	return first
}

// submit submits the sample configuration as soon as there is a leader.
func (d *Demo) submit(ctx context.Context) error {
	for {
		_, err := d.Client(0).Call(ctx, http.MethodPut, "/v1/configuration", d.sampler.Configuration())
		if err == nil || fault.Of(err) == fault.Conflict {
			return nil
		}
		if !sleep(ctx) {
			return eris.Wrap(err, "submit the sample configuration")
		}
	}
}

func (d *Demo) startTargets() error {
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	first := 0
	for z, n := range d.cfg.Zones {
		zone := d.sampler.Zone(first)
		entries := []string{d.Public(first)}
		if n > 1 {
			entries = append(entries, d.Public(first+1))
		}
		first += n
		if err := d.startEngine(ctx, fmt.Sprintf("engine-%d", z+1), zone, entries); err != nil {
			return err
		}
		if err := d.startOrderer(ctx, fmt.Sprintf("order-%d", z+1), zone, entries); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) startEngine(ctx context.Context, name, zone string, entries []string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "listen: %v", err)
	}
	logger := d.cfg.Logger.Named("engine").With(zap.String("target", name))
	e, err := engine.New(engine.Config{
		Name: name, Zone: zone, Address: l.Addr().String(), Models: []string{sampler.Model}, Slots: engineSlots, Queue: engineQueue,
		PrefillPerToken: 20 * time.Microsecond, Chunk: 2048, Decode: 5 * time.Millisecond, DecodePerRequest: 50 * time.Microsecond, Blocks: 2048, DefaultMaxTokens: 64, MinOutputRatio: 1,
		Linger: time.Second, Retention: 30 * time.Second, Lag: 500 * time.Millisecond, EventLag: time.Second,
		Incarnation: uint64(time.Now().UnixNano()), Crash: func() { os.Exit(3) }, Logger: logger,
	})
	if err != nil {
		return err
	}
	d.run(ctx, host.Config{Listener: l, Handler: e, Work: e.Run, Entries: entries, Key: sampler.EngineKey, Report: e.Report, Leave: e.Leave, Logger: logger})
	return nil
}

func (d *Demo) startOrderer(ctx context.Context, name, zone string, entries []string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "listen: %v", err)
	}
	logger := d.cfg.Logger.Named("orders").With(zap.String("target", name))
	o, err := orderer.New(orderer.Config{
		Name: name, Zone: zone, Address: l.Addr().String(), Services: []string{"orders"},
		Incarnation: uint64(time.Now().UnixNano()), Crash: func() { os.Exit(3) }, Logger: logger,
	})
	if err != nil {
		return err
	}
	d.run(ctx, host.Config{Listener: l, Handler: o, Entries: entries, Key: sampler.OrderKey, Report: o.Report, Leave: o.Leave, Logger: logger})
	return nil
}

func (d *Demo) run(ctx context.Context, cfg host.Config) {
	cfg.DrainTimeout = 5 * time.Second
	done := make(chan error, 1)
	d.targets = append(d.targets, done)
	h := host.New(cfg)
	go func() { done <- h.Run(ctx) }()
}

// wait waits until every instance has the configuration and a target.
func (d *Demo) wait(ctx context.Context) error {
	for i := range d.sampler.Names() {
		for !d.isServing(ctx, i) {
			if !sleep(ctx) {
				return eris.Wrapf(fault.Unavailable, "instance %s does not serve yet", d.sampler.Names()[i])
			}
		}
	}
	return nil
}

func (d *Demo) isServing(ctx context.Context, i int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Public(i)+"/v1/models", nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+sampler.WondimuKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var list struct {
		Data []struct {
			Ready bool `json:"ready"`
		} `json:"data"`
	}
	err = json.NewDecoder(response.Body).Decode(&list)
	return err == nil && len(list.Data) > 0 && list.Data[0].Ready
}

func (d *Demo) address(i, server int) string {
	return d.listeners[i*serversPerInstance+server].Addr().String()
}

// listen returns the listener that was opened for the address.
func (d *Demo) listen(_, address string) (net.Listener, error) {
	for _, l := range d.listeners {
		if l.Addr().String() == address {
			return l, nil
		}
	}
	return nil, eris.Errorf("no listener for %s", address)
}

func sleep(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pollInterval):
		return true
	}
}
