package starter

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/host"
	"github.com/papayapond/papayapond/internal/logger"
)

// Starter holds the common options of a simulated target. Programs embed it in
// their own options; values set before parsing are the defaults.
type Starter struct {
	Name    string        `arg:"--name" help:"name of the target; it starts with the name of its group"`
	Zone    string        `arg:"--zone" default:"a" help:"availability zone"`
	Address string        `arg:"--address" help:"host:port to listen on; port 0 takes a free one"`
	Entries []string      `arg:"--entry,separate" help:"entry instance to announce to, host:port; may be repeated"`
	Key     string        `arg:"--key,env:PAPAYA_TARGET_KEY" help:"bearer key of the target group"`
	Seed    uint64        `arg:"--seed" default:"1" help:"seed of everything that is random"`
	Grace   time.Duration `arg:"--grace" default:"3s" help:"time for which a leaving target still accepts requests"`
	Drain   time.Duration `arg:"--drain" help:"bound on the wait for running requests on SIGTERM"`
	Level   string        `arg:"--level" default:"info" help:"log level: debug, info, warn or error"`
}

// Main runs a target until SIGTERM and exits the process if it fails. When build
// is called, Address is the address that the target listens on. build returns
// the handler and the functions of the target; the rest of its configuration
// comes from the options.
func (s *Starter) Main(part string, build func(log *zap.Logger) (host.Config, error)) {
	log, err := logger.New(s.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(fault.Of(err).ExitCode())
	}
	if err := s.run(log.Named(part).With(zap.String("name", s.Name)), build); err != nil {
		log.Fatal("target failed", zap.String("name", s.Name), zap.Error(err))
	}
}

func (s *Starter) run(log *zap.Logger, build func(*zap.Logger) (host.Config, error)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.Address = listener.Addr().String()
	cfg, err := build(log)
	if err != nil {
		return err
	}
	cfg.Listener, cfg.Entries, cfg.Key, cfg.Grace, cfg.DrainTimeout, cfg.Logger = listener, s.Entries, s.Key, s.Grace, s.Drain, log
	log.Info("serving", zap.String("address", s.Address))
	return host.New(cfg).Run(ctx)
}
