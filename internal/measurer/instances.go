package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/member"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/subscriber"
	"github.com/papayapond/papayapond/internal/watcher"
	"github.com/papayapond/papayapond/internal/wire"
)

// Run runs the instances and their targets and returns their counts.
func (m *Measurer) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begin := time.Now()
	var last *subscriber.Subscriber
	var configured sync.WaitGroup
	for i := range m.cfg.Instances {
		s, err := m.start(ctx, fmt.Sprintf("a%d", i+1))
		if err != nil {
			return Result{}, err
		}
		last = s
		configured.Go(func() { wait(ctx, s) })
		for t := i; t < m.cfg.Targets; t += m.cfg.Instances {
			go m.announce(ctx, s, t)
		}
	}
	ready := make(chan time.Duration, 1)
	go func() {
		configured.Wait()
		ready <- time.Since(begin)
	}()
	r, err := m.count(ctx)
	select {
	case d := <-ready:
		r.Ready = d.Seconds()
	default:
	}
	if last != nil {
		r.Version = last.Version()
	}
	r.Silent = m.silent.Load()
	return r, err
}

// wait returns when a configuration is in force, or ctx ends.
func wait(ctx context.Context, s *subscriber.Subscriber) {
	for s.Version() == 0 {
		changed := s.Changed()
		if s.Version() > 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// start starts the control parts of one instance.
func (m *Measurer) start(ctx context.Context, name string) (*subscriber.Subscriber, error) {
	d := dialer.New(dialer.Config{
		Addresses: map[string]string{"holder": m.cfg.Address},
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return counted{c, m}, nil
		},
	})
	client := func() wire.DRPCFleetClient { return wire.NewDRPCFleetClient(d.Conn("holder")) }
	follow := watcher.New(watcher.Config{
		Watch: func(ctx context.Context, _ string, q *wire.WatchRequest) (wire.DRPCFleet_WatchClient, error) {
			return client().Watch(ctx, q)
		},
		Silent: func(string) { m.silent.Add(1) },
	}).Follow
	s, err := subscriber.New(subscriber.Config{
		Name: name, Zone: "a", Holders: []string{"holder"},
		Watch: func(ctx context.Context, holder string, q *wire.WatchRequest, handle func(*wire.Update) error) (bool, error) {
			return follow(ctx, holder, q, func(u *wire.Update) error {
				m.messages.Add(1)
				return handle(u)
			})
		},
		Announce: func(ctx context.Context, _ string, q *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
			m.messages.Add(1)
			return client().Announce(ctx, q)
		},
		Apply:    func(*configuration.Configuration) {},
		Registry: registry.New(registry.Config{}), Blocker: blocker.New(blocker.Config{}), Logger: zap.NewNop(),
	})
	if err != nil {
		return nil, err
	}
	mem := member.New(member.Config{
		Self: &wire.Peer{Name: name, Zone: "a", Address: "127.0.0.1:7002", Public: "127.0.0.1:7000"}, Holders: s.Holders,
		Beat: func(ctx context.Context, _ string, q *wire.BeatRequest) (*wire.BeatReply, error) {
			m.messages.Add(1)
			return client().Beat(ctx, q)
		},
		Version: s.Version, InFlight: func() int { return 60 }, Logger: zap.NewNop(),
	})
	go s.Run(ctx)
	go mem.Run(ctx)
	return s, nil
}

// announce announces a target every second, each time with another load.
func (m *Measurer) announce(ctx context.Context, s *subscriber.Subscriber, number int) {
	t := &wire.Target{
		Name: fmt.Sprintf("engine-%04d", number), Zone: "a", Kind: "engine", Address: "127.0.0.1:9000",
		Models: []string{"papaya-small", "papaya-large"}, State: registry.Ready, Incarnation: 1, Slots: 64, Role: "both",
	}
	for sleep(ctx, time.Duration(rand.Int64N(int64(2*time.Second)))) {
		now := &wire.Target{
			Name: t.Name, Zone: t.Zone, Kind: t.Kind, Address: t.Address, Models: t.Models, State: t.State,
			Incarnation: t.Incarnation, Slots: t.Slots, Role: t.Role, Time: time.Now().UnixNano(),
			Running: rand.Uint32N(64), Waiting: rand.Uint32N(16),
		}
		for range m.cfg.Events {
			now.Events = append(now.Events, &wire.Cache{Sequence: rand.Uint64N(1 << 20), Hash: rand.Uint64()})
		}
		_ = s.Announce(ctx, now) // a lost announcement is followed by the next one
	}
}
