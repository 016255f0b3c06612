package core

import (
	"cmp"
	"context"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/papayapond/papayapond/internal/coordinator"
	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/listener"
	"github.com/papayapond/papayapond/internal/replicator"
	"github.com/papayapond/papayapond/internal/wire"
)

// transferTimeout limits the leadership transfer at a planned stop.
const transferTimeout = time.Second

// Config configures a Core.
type Config struct {
	// Address is where other instances reach this one. It is also the name of
	// the instance.
	Address string
	// Bind is the address to listen on if it differs from Address.
	Bind string
	// InitialMembers are the addresses of the initial members of the log, empty
	// for an instance that joins an existing log.
	InitialMembers []string
	// Seeds returns addresses of core instances.
	Seeds func() []string
	// Voters is the number of voters up to which the log grows.
	Voters int
	// VoterTimeout is the silence after which another instance may replace a
	// voter.
	VoterTimeout time.Duration
	// TargetTimeout is the silence after which a target expires.
	TargetTimeout time.Duration
	// DataDir is the directory of the durable state.
	DataDir string
	Logger  *zap.Logger
}

// Core is one core instance.
type Core struct {
	cfg         Config
	dialer      *dialer.Dialer
	log         *replicator.Replicator
	coordinator *coordinator.Coordinator
}

// New returns a core instance after opening its durable state.
func New(cfg Config) (*Core, error) {
	c := &Core{cfg: cfg, dialer: dialer.New(dialer.Config{})}
	c.coordinator = coordinator.New(coordinator.Config{
		Name:    cfg.Address,
		Propose: func(ctx context.Context, command []byte) (uint64, []byte, error) { return c.log.Propose(ctx, command) },
		Barrier: func(ctx context.Context) error { return c.log.Barrier(ctx) },
		Leader:  func() string { return c.log.Leader() },
		Term: func() uint64 {
			term, _, _ := c.log.Status()
			return term
		},
		Instances: func() []string { return c.log.Instances() },
		Peer: func(name string) wire.DRPCSteeringClient {
			return wire.NewDRPCSteeringClient(c.dialer.Conn(name))
		},
		TargetTimeout: cfg.TargetTimeout,
		Logger:        cfg.Logger.Named("coordinator"),
	})
	log, err := replicator.New(replicator.Config{
		Name: cfg.Address, Members: cfg.InitialMembers, Join: len(cfg.InitialMembers) == 0, Seeds: cfg.Seeds,
		VoterCount: cfg.Voters, ReplaceAfter: cfg.VoterTimeout,
		Path:  filepath.Join(cfg.DataDir, "log"),
		Apply: c.coordinator.Apply, Snapshot: c.coordinator.Snapshot, Restore: c.coordinator.Restore,
		Vote: func(ctx context.Context, peer string, q *wire.VoteRequest) (*wire.VoteReply, error) {
			return c.peer(peer).Vote(ctx, q)
		},
		Append: func(ctx context.Context, peer string, q *wire.AppendRequest) (*wire.AppendReply, error) {
			return c.peer(peer).Append(ctx, q)
		},
		Install: func(ctx context.Context, peer string, q *wire.InstallRequest) (*wire.InstallReply, error) {
			return c.peer(peer).Install(ctx, q)
		},
		Logger: cfg.Logger.Named("replicator"),
	})
	if err != nil {
		return nil, err
	}
	c.log = log
	return c, nil
}

func (c *Core) peer(name string) wire.DRPCLogClient {
	return wire.NewDRPCLogClient(c.dialer.Conn(name))
}

// Coordinator returns the coordinator of this instance.
func (c *Core) Coordinator() *coordinator.Coordinator { return c.coordinator }

// Run serves other instances until ctx ends, then transfers the leadership if
// this instance leads.
func (c *Core) Run(ctx context.Context) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterLog(mux, c.log); err != nil {
		return eris.Wrap(err, "register log")
	}
	if err := wire.DRPCRegisterSteering(mux, c.coordinator); err != nil {
		return eris.Wrap(err, "register steering")
	}
	bind := cmp.Or(c.cfg.Bind, c.cfg.Address)
	l, err := net.Listen("tcp", bind)
	if err != nil {
		return eris.Wrapf(fault.Unavailable, "listen on %s: %v", bind, err)
	}
	// Calls of other instances change durable state and run without a recoverer: a panic
	// ends the process, which reads the state back.
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: dialer.Options()})
	serving, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { c.log.Run(serving) })
	group.Go(func() { c.coordinator.Run(serving) })
	group.Go(func() {
		if err := server.Serve(serving, listener.New(listener.Config{Listener: l, Logger: c.cfg.Logger.Named("listener")})); err != nil && serving.Err() == nil {
			c.cfg.Logger.Error("serving other instances failed", zap.Error(err))
		}
	})
	<-ctx.Done()
	if c.log.Leader() == c.cfg.Address {
		transfer, cancel := context.WithTimeout(context.Background(), transferTimeout)
		if err := c.log.Transfer(transfer); err != nil {
			c.cfg.Logger.Info("leadership transfer failed", zap.Error(err))
		}
		cancel()
	}
	stop()
	group.Wait()
	return eris.Wrap(c.dialer.Close(), "close")
}
