// Command papayarace compares routing policies on simulated engines in one
// process; see docs/routing.md.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/racer"
)

// maxCores limits the number of processors that a run uses.
const maxCores = 4

type runArguments struct {
	Engines  int           `arg:"--engines" default:"12" help:"stand-in engines"`
	Entries  int           `arg:"--entries" default:"8" help:"entry paths"`
	Policies []string      `arg:"--policy,separate,required" help:"routing policy; may be repeated"`
	Loads    []float64     `arg:"--load,separate,required" help:"load as a multiple of the capacity; may be repeated"`
	Capacity float64       `arg:"--capacity" default:"14" help:"requests per second of one engine at capacity"`
	Seeds    []uint64      `arg:"--seed,separate,required" help:"seed; may be repeated"`
	Time     time.Duration `arg:"--time" default:"6s" help:"time of sending in one run"`
	Open     bool          `arg:"--open" help:"send without admission"`
	Out      string        `arg:"--out,required" help:"file to which each run is appended as a line of JSON"`
}

type showArguments struct {
	In    string `arg:"--in,required" help:"file that run has written"`
	Plots string `arg:"--plots" help:"folder for the plots"`
}

type arguments struct {
	Run  *runArguments  `arg:"subcommand:run" help:"play runs"`
	Show *showArguments `arg:"subcommand:show" help:"print the medians over the seeds as tables and plot them"`
}

// Description returns the text shown by --help.
func (arguments) Description() string {
	return "Comparison of routing policies. Try: papayarace run --policy two --load 0.8 --seed 1 --out race.json, then\n" +
		"papayarace show --in race.json --plots ."
}

func main() { os.Exit(execute()) }

func execute() (status int) {
	var args arguments
	parser := arg.MustParse(&args)
	runtime.GOMAXPROCS(maxCores)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	switch {
	case args.Run != nil:
		err = run(ctx, args.Run)
	case args.Show != nil:
		err = show(args.Show)
	default:
		parser.Fail("missing subcommand: expected run or show")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "papayarace:", err)
		return 1
	}
	return 0
}

// run runs all combinations of load, policy and seed and appends the results to
// the file.
func run(ctx context.Context, a *runArguments) error {
	out, err := os.OpenFile(a.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "results")
	}
	lines := json.NewEncoder(out)
	for _, load := range a.Loads {
		for _, policy := range a.Policies {
			for _, seed := range a.Seeds {
				r := racer.New(racer.Config{
					Engines: a.Engines, Entries: a.Entries, Policy: policy, Seed: seed, Time: a.Time,
					Rate: load * a.Capacity * float64(a.Engines), Unbounded: a.Open, Logger: zap.NewNop(),
				})
				result, hits, err := r.Run(ctx)
				if err != nil {
					return err
				}
				f := summarize(result)
				f.Policy, f.Engines, f.Load, f.Seed, f.Hits, f.Open = policy, a.Engines, load, seed, hits, a.Open
				f.CPUSeconds = cpuSeconds()
				if err := lines.Encode(f); err != nil {
					return eris.Wrap(err, "results")
				}
				fmt.Printf("%s load %.2f seed %d: sent %d, ok %d, good %.1f/s, stream first p95 %.0f ms, hits %.2f\n",
					policy, load, seed, f.Sent, f.OK, f.Goodput, f.FirstToken[1], hits)
			}
		}
	}
	return eris.Wrap(out.Close(), "results")
}

// cpuSeconds returns the processor time that this process has used, in seconds,
// or 0 if it is unknown.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
