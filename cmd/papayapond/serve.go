package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/daemon"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/logger"
	"github.com/papayapond/papayapond/internal/settings"
)

type serveCommand struct {
	Settings string `arg:"positional,required" help:"settings file (TOML)"`
}

func (c *serveCommand) run(ctx context.Context) error {
	s, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	log, err := logger.New(s.Level)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	d, err := daemon.New(daemon.Config{Settings: s, Logger: log.With(zap.String("instance", s.Name)), Level: &log.Level})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := d.Start(ctx); err != nil {
		return err
	}
	log.Info("instance started", zap.String("instance", s.Name), zap.String("zone", s.Zone), zap.String("public", s.Public))
	<-signals
	log.Info("instance draining", zap.String("instance", s.Name))
	go func() {
		<-signals
		fmt.Fprintln(os.Stderr, "papayapond: second signal, exiting immediately")
		os.Exit(fault.Draining.ExitCode())
	}()
	stop, cancel := context.WithTimeout(ctx, s.DrainTimeout())
	defer cancel()
	if err := d.Stop(stop); err != nil {
		return err
	}
	log.Info("instance stopped", zap.String("instance", s.Name))
	return nil
}
