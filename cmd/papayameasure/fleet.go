package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/papayapond/papayapond/internal/measurer"
)

type fleetArguments struct {
	Holder    bool          `arg:"--holder" help:"run the holder; without it, run the instances and targets"`
	Address   string        `arg:"--address" default:"127.0.0.1:7990" help:"address of the holder"`
	Instances int           `arg:"--instances" default:"8" help:"entry instances of the zone"`
	Targets   int           `arg:"--targets" default:"10" help:"targets that announce themselves every second on average"`
	Events    int           `arg:"--events" help:"cache events in each announcement"`
	Accounts  int           `arg:"--accounts" default:"10" help:"client accounts in the configuration"`
	Changes   float64       `arg:"--changes" help:"changes of the configuration per second"`
	Time      time.Duration `arg:"--time" default:"5s" help:"time of counting, after 3 s"`
}

func (args *fleetArguments) run() error {
	m := measurer.New(measurer.Config{
		Address: args.Address, Instances: args.Instances, Targets: args.Targets, Events: args.Events,
		Accounts: args.Accounts, Changes: args.Changes, Time: args.Time,
	})
	run := m.Run
	if args.Holder {
		run = m.Holder
	}
	r, err := run(context.Background())
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(r)
}
