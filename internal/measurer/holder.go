package measurer

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/member"
	"github.com/papayapond/papayapond/internal/publisher"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/wire"
)

// fleet serves the drpc service of a holder.
type fleet struct {
	*publisher.Publisher
	member *member.Member
	m      *Measurer
}

// Beat takes a heartbeat.
func (f *fleet) Beat(ctx context.Context, q *wire.BeatRequest) (*wire.BeatReply, error) {
	f.m.messages.Add(1)
	return f.member.Beat(ctx, q)
}

// Announce takes an announcement.
func (f *fleet) Announce(ctx context.Context, q *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	f.m.messages.Add(1)
	return f.Publisher.Announce(ctx, q)
}

// Holder runs the holder and returns its counts. It must be started within a
// few seconds of the instances.
func (m *Measurer) Holder(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := newLog(m.cfg.Accounts)
	if err != nil {
		return Result{}, err
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterFleet(mux, m.fleet(l)); err != nil {
		return Result{}, err
	}
	listener, err := net.Listen("tcp", m.cfg.Address)
	if err != nil {
		return Result{}, unavailable(err, "listen")
	}
	go func() { _ = drpcserver.New(mux).Serve(ctx, &countedListener{listener, m}) }() // ends with ctx
	go m.change(ctx, l)
	r, err := m.count(ctx)
	if err == nil {
		sleep(ctx, settleTime) // the instances start later and count for as long
	}
	return r, err
}

func (m *Measurer) fleet(l *log) *fleet {
	self := &wire.Peer{Name: "holder", Zone: "a", Address: m.cfg.Address}
	mem := member.New(member.Config{
		Self: self, Holder: true, Holders: func() []string { return []string{"holder"} },
		Version: func() uint64 { return 1 }, InFlight: func() int { return 0 },
		Fence: func(string, uint64) error { return nil }, Logger: zap.NewNop(),
	})
	p := publisher.New(publisher.Config{
		Zone: "a", Registry: registry.New(registry.Config{}), Blocker: blocker.New(blocker.Config{}),
		Read: l.controller.Read, Configuration: l.controller.Configuration, Changed: l.controller.Changed, Peers: mem.Peers,
		Quorum: func() bool { return true }, Logger: zap.NewNop(),
	})
	return &fleet{Publisher: p, member: mem, m: m}
}

// change changes the configuration at the given rate until ctx ends.
func (m *Measurer) change(ctx context.Context, l *log) {
	if m.cfg.Changes <= 0 {
		return
	}
	for sleep(ctx, time.Duration(float64(time.Second)/m.cfg.Changes)) {
		c, err := next(l.controller.Configuration())
		if err == nil {
			err = l.configure(c)
		}
		if err != nil {
			panic(err) // the changes are built here
		}
	}
}

type countedListener struct {
	net.Listener
	m *Measurer
}

// Accept returns a connection whose bytes are counted.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{c, l.m}, nil
}
