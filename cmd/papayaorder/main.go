// Command papayaorder is a stand-in for a plain order service, whose orders
// must not be placed twice; see docs/standins.md.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/host"
	"github.com/papayapond/papayapond/internal/logger"
	"github.com/papayapond/papayapond/internal/orderer"
)

type arguments struct {
	Name     string        `arg:"--name" default:"order-1" help:"name of the target; it starts with the name of its group"`
	Zone     string        `arg:"--zone" default:"a" help:"availability zone"`
	Address  string        `arg:"--address" default:"127.0.0.1:9101" help:"host:port to listen on; port 0 takes a free one"`
	Entries  []string      `arg:"--entry,separate" help:"entry instance to announce to, host:port; may be repeated"`
	Key      string        `arg:"--key,env:PAPAYA_TARGET_KEY" help:"bearer key of the target group"`
	Services []string      `arg:"--service,separate" help:"service that is announced; may be repeated [default: orders]"`
	Work     time.Duration `arg:"--work" default:"2ms" help:"time that each call takes"`
	File     string        `arg:"--file" help:"file that keeps the counts of orders over a crash; empty keeps them in memory"`
	Faults   []string      `arg:"--fault,separate" help:"fault to produce: KIND[,marker=TEXT][,share=0..1][,times=N][,value=X] with KIND slow (X in ms), status, or after the order ran: crash, hang, reset; may be repeated"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of faults with a share"`
	Grace    time.Duration `arg:"--grace" default:"3s" help:"time for which a leaving service still accepts calls"`
	Drain    time.Duration `arg:"--drain" default:"30s" help:"bound on the wait for running calls on SIGTERM"`
	Level    string        `arg:"--level" default:"info" help:"log level: debug, info, warn or error"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Stand-in for an order service. Try: papayaorder, then\n" +
		`curl -d '{"order":"o1","sku":"beam","quantity":2}' http://127.0.0.1:9101/orders` + "\n" +
		"curl http://127.0.0.1:9101/counts"
}

func main() {
	var args arguments
	arg.MustParse(&args)
	log, err := logger.New(args.Level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(fault.Of(err).Exit())
	}
	if err := run(args, log.Named("order").With(zap.String("name", args.Name))); err != nil {
		log.Fatal("Order service failed.", zap.Error(err))
	}
}

func run(args arguments, logger *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", args.Address)
	if err != nil {
		return err
	}
	if len(args.Services) == 0 {
		args.Services = []string{"orders"}
	}
	o, err := orderer.New(orderer.Config{
		Name: args.Name, Zone: args.Zone, Address: listener.Addr().String(), Services: args.Services,
		Work: args.Work, File: args.File, Faults: args.Faults, Seed: args.Seed, Incarnation: uint64(time.Now().UnixNano()),
		Crash: func() { os.Exit(3) }, Logger: logger,
	})
	if err != nil {
		return err
	}
	logger.Info("Serving.", zap.String("address", listener.Addr().String()), zap.Strings("services", args.Services))
	return host.New(host.Config{
		Listener: listener, Handler: o, Entries: args.Entries, Key: args.Key,
		Report: o.Report, Leave: o.Leave, Grace: args.Grace, Drain: args.Drain, Logger: logger,
	}).Run(ctx)
}
