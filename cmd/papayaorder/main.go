// Command papayaorder is a stand-in for a plain order service, whose orders
// must not be placed twice; see docs/standins.md.
package main

import (
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/host"
	"github.com/papayapond/papayapond/internal/orderer"
	"github.com/papayapond/papayapond/internal/starter"
)

type arguments struct {
	starter.Starter

	Services []string      `arg:"--service,separate" help:"service that is announced; may be repeated [default: orders]"`
	Work     time.Duration `arg:"--work" default:"2ms" help:"time that each call takes"`
	File     string        `arg:"--file" help:"file that keeps the counts of orders over a crash; empty keeps them in memory"`
	Faults   []string      `arg:"--fault,separate" help:"fault to produce: KIND[,marker=TEXT][,share=0..1][,times=N][,value=X] with KIND slow (X in ms), status, or after the order ran: crash, hang, reset; may be repeated"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Stand-in for an order service. Try: papayaorder, then\n" +
		`curl -d '{"order":"o1","sku":"beam","quantity":2}' http://127.0.0.1:9101/orders` + "\n" +
		"curl http://127.0.0.1:9101/counts"
}

func main() {
	args := arguments{Starter: starter.Starter{Name: "order-1", Address: "127.0.0.1:9101", Drain: 30 * time.Second}}
	arg.MustParse(&args)
	if len(args.Services) == 0 {
		args.Services = []string{"orders"}
	}
	args.Main("order", func(log *zap.Logger) (host.Config, error) {
		o, err := orderer.New(orderer.Config{
			Name: args.Name, Zone: args.Zone, Address: args.Address, Services: args.Services,
			Latency: args.Work, File: args.File, Faults: args.Faults, Seed: args.Seed, Incarnation: uint64(time.Now().UnixNano()),
			Crash: func() { os.Exit(3) }, Logger: log,
		})
		if err != nil {
			return host.Config{}, err
		}
		return host.Config{Handler: o, Report: o.Report, Leave: o.Leave}, nil
	})
}
