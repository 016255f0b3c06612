package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/client"
	"github.com/papayapond/papayapond/internal/configuration"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/inspector"
	"github.com/papayapond/papayapond/internal/planner"
	"github.com/papayapond/papayapond/pkg/printer"
)

// maxRate is the highest rate of changes, in changes per second.
const maxRate = 10_000

type controlArguments struct {
	File      string        `arg:"positional" default:"docs/capacity.toml" help:"sizes and limits (TOML)"`
	Processes []string      `arg:"--process,separate,required" help:"NAME=PID of an instance; may be repeated"`
	Operators []string      `arg:"--operator,separate,required" help:"operators' address that takes changes; may be repeated"`
	Key       string        `arg:"--key,env:PAPAYAPOND_KEY" help:"key of an operator"`
	Rate      float64       `arg:"--rate" default:"2" help:"changes per second"`
	Time      time.Duration `arg:"--time" default:"30s" help:"time of counting at rest and again with changes"`
}

// process is an instance and its process ID.
type process struct {
	name string
	pid  int
}

// usage is the resource usage of a process.
type usage struct {
	processor, read, written float64 // ms, bytes and bytes per second
	resident                 float64 // bytes at the end of the measurement
}

func (args *controlArguments) run() error {
	if err := args.check(); err != nil {
		return err
	}
	text, err := os.ReadFile(args.File)
	if err != nil {
		return eris.Wrapf(fault.Malformed, "%v", err)
	}
	plan, err := planner.Parse(text)
	if err != nil {
		return err
	}
	processes, err := args.processes()
	if err != nil {
		return err
	}
	ctx := context.Background()
	idle, err := measure(processes, func() error {
		time.Sleep(args.Time)
		return nil
	})
	if err != nil {
		return err
	}
	made := 0
	busy, err := measure(processes, func() error {
		made, err = args.applyChanges(ctx)
		return err
	})
	if err != nil {
		return err
	}
	args.print(processes, plan.Sizes(), idle, busy, float64(made)/args.Time.Seconds())
	return nil
}

// check returns an error that wraps fault.Malformed if rate or time are out of range.
func (args *controlArguments) check() error {
	switch {
	case !(args.Rate > 0 && args.Rate <= maxRate):
		return eris.Wrapf(fault.Malformed, "--rate: got %v, expected more than 0 and at most %v", args.Rate, maxRate)
	case args.Time <= 0:
		return eris.Wrapf(fault.Malformed, "--time: got %v, expected more than 0", args.Time)
	}
	return nil
}

func (args *controlArguments) processes() ([]process, error) {
	var list []process
	for _, p := range args.Processes {
		name, number, _ := strings.Cut(p, "=")
		pid, err := strconv.Atoi(number)
		if err != nil {
			return nil, eris.Wrapf(fault.Malformed, "--process: got %q, expected NAME=PID", p)
		}
		list = append(list, process{name, pid})
	}
	return list, nil
}

// measure returns the resource usage of each process while f runs.
func measure(processes []process, f func() error) ([]usage, error) {
	i := inspector.New(inspector.Config{})
	usages := func() ([]inspector.Usage, error) {
		var list []inspector.Usage
		for _, p := range processes {
			u, err := i.Usage(p.pid)
			if err != nil {
				return nil, eris.Wrap(err, p.name)
			}
			list = append(list, u)
		}
		return list, nil
	}
	before, err := usages()
	if err != nil {
		return nil, err
	}
	begin := time.Now()
	if err := f(); err != nil {
		return nil, err
	}
	after, err := usages()
	if err != nil {
		return nil, err
	}
	seconds := time.Since(begin).Seconds()
	loads := make([]usage, len(after))
	for n, u := range after {
		loads[n] = usage{
			processor: (u.Processor - before[n].Processor).Seconds() * 1000 / seconds,
			read:      float64(u.Read-before[n].Read) / seconds,
			written:   float64(u.Written-before[n].Written) / seconds,
			resident:  float64(u.Resident),
		}
	}
	return loads, nil
}

// applyChanges changes the weight of an account at args.Rate, rotating through
// the operators' addresses, and returns the number of changes.
func (args *controlArguments) applyChanges(ctx context.Context) (made int, err error) {
	call := func(method string, body any) ([]byte, error) {
		c := client.New(client.Config{Address: args.Operators[made%len(args.Operators)], Key: args.Key})
		return c.Call(ctx, method, "/v1/configuration", body)
	}
	text, err := call(http.MethodGet, nil)
	if err != nil {
		return 0, err
	}
	current, err := configuration.Parse(text)
	if err != nil {
		return 0, err
	}
	v := current.Venture()
	if len(v.Accounts) == 0 {
		return 0, eris.Wrap(fault.Missing, "configuration has no accounts, expected at least one")
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / args.Rate))
	defer tick.Stop()
	for begin := time.Now(); time.Since(begin) < args.Time; made++ {
		v.Accounts[0].Weight = v.Accounts[0].Weight%100 + 1
		v = v.WithVersion(v.Version+1, v.Version)
		if _, err := call(http.MethodPut, printer.Text(v)); err != nil {
			return made, err
		}
		<-tick.C
	}
	return made, nil
}

// print prints three rows for each process: measured while idle, measured under
// changes, and estimated for the planned rate of changes by linear scaling
// between the first two.
func (args *controlArguments) print(processes []process, sizes planner.Sizes, idle, busy []usage, rate float64) {
	fmt.Println("| instance | changes a day | processor ms/s | read B/s | written B/s | resident MiB | within the limits |")
	fmt.Println("|---|---|---|---|---|---|---|")
	day := (24 * time.Hour).Seconds()
	fraction := sizes.Changes / day / rate
	for n, p := range processes {
		r, b := idle[n], busy[n]
		planned := usage{scaleUsage(r.processor, b.processor, fraction), scaleUsage(r.read, b.read, fraction), scaleUsage(r.written, b.written, fraction), max(r.resident, b.resident)}
		row := func(changes string, l usage) {
			within := "yes"
			if l.processor > sizes.Core || l.read+l.written > sizes.Bytes || l.resident > sizes.Memory {
				within = "**no**"
			}
			fmt.Printf("| %s | %s | %.1f | %.0f | %.0f | %.1f | %s |\n", p.name, changes, l.processor, l.read, l.written, l.resident/(1<<20), within)
		}
		row("0, measured", r)
		row(fmt.Sprintf("%.0f, measured", rate*day), b)
		row(fmt.Sprintf("%.0f, scaled", sizes.Changes), planned)
	}
}

// scaleUsage returns the usage at a fraction of the measured rate.
func scaleUsage(idle, busy, fraction float64) float64 { return idle + (busy-idle)*fraction }
