package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/comparer"
	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// meanTokensPerRequest is the mean token usage of a request in the workload.
	meanTokensPerRequest = 585
	// cutMargin is the time that a run continues after a network partition.
	cutMargin = 5 * time.Minute
)

type budgetsArguments struct {
	Case     string    `arg:"--case" default:"none" help:"none, cut or crash"`
	Mix      string    `arg:"--mix" default:"wondimu" help:"accounts: wondimu or ibumba"`
	Reserves []float64 `arg:"--reserve,separate" help:"setting reserve; may be repeated [default: 0.25]"`
	Seeds    []uint64  `arg:"--seed,separate" help:"seed of a run; may be repeated [default: 1]"`
	Skew     float64   `arg:"--skew" default:"0.8" help:"share of the requests of an account in its home zone"`
	Rate     float64   `arg:"--rate" default:"4" help:"requests per second in all"`
	Hours    float64   `arg:"--hours" default:"2" help:"demand that the budgets cover"`
	Spent    float64   `arg:"--spent" default:"0.5" help:"part of the budgets that is spent when a cut begins"`
	Cut      float64   `arg:"--cut" default:"10" help:"minutes of a cut"`
	Zone     int       `arg:"--zone" default:"0" help:"number of the zone that is cut"`
	Data     string    `arg:"--data" help:"folder for temporary journals [default: that of the system]"`
	Header   bool      `arg:"--header" help:"print the head of the table"`
}

// mixes holds the relative demand of each account for two sample firms.
var mixes = map[string][]float64{
	"wondimu": {30, 25, 20, 6, 5, 4, 4, 3, 2, 1},
	"ibumba":  {40, 25, 7, 6, 5, 5, 4, 3, 3, 2},
}

func (args *budgetsArguments) run() error {
	return runAsTest(args.compare)
}

func (args *budgetsArguments) compare(t *testing.T) error {
	if mixes[args.Mix] == nil {
		return eris.Wrapf(fault.Malformed, "--mix: got %q, expected wondimu or ibumba", args.Mix)
	}
	if len(args.Reserves) == 0 {
		args.Reserves = []float64{0.25}
	}
	if len(args.Seeds) == 0 {
		args.Seeds = []uint64{1}
	}
	if args.Header {
		fmt.Println("| case | mix | seed | division | requests | overspend | unbilled | false/10k to 99% | false/10k last 1% | in cut: requests | false | false in the cut zone | refused with any token left | trips % | wait p99 ms | max ms | B/s | billed % |")
		fmt.Println("|" + strings.Repeat("---|", 18))
	}
	for _, seed := range args.Seeds {
		cfg, err := args.configure(seed)
		if err != nil {
			return err
		}
		name := args.label()
		c := comparer.New(cfg)
		printRow(name, args.Mix, seed, "static", c.Static())
		printRow(name, args.Mix, seed, "central", c.Central())
		for _, reserve := range args.Reserves {
			r, err := args.escrow(t, cfg, reserve)
			if err != nil {
				return err
			}
			printRow(name, args.Mix, seed, fmt.Sprintf("escrow %.2f", reserve), r)
		}
	}
	return nil
}

func (args *budgetsArguments) label() string {
	if args.Case == "cut" {
		return fmt.Sprintf("cut %g min at %g%%", args.Cut, 100*args.Spent)
	}
	return args.Case
}

func (args *budgetsArguments) configure(seed uint64) (comparer.Config, error) {
	whole := time.Duration(args.Hours * float64(time.Hour))
	cfg := comparer.Config{Zones: []int{3, 3, 2}, Skew: args.Skew, Rate: args.Rate, Seed: seed}
	sum := 0.0
	for _, w := range mixes[args.Mix] {
		sum += w
	}
	for i, w := range mixes[args.Mix] {
		budget := int64(whole.Seconds() * args.Rate * meanTokensPerRequest * w / sum)
		cfg.Accounts = append(cfg.Accounts, comparer.Account{Name: fmt.Sprintf("account-%d", i+1), Budget: budget, Weight: w, Home: i % len(cfg.Zones)})
	}
	switch args.Case {
	case "none":
		cfg.Length = whole * 11 / 10
	case "crash":
		cfg.Length, cfg.Crash = whole*11/10, time.Minute
	case "cut":
		from := time.Duration(args.Spent * float64(whole))
		until := from + time.Duration(args.Cut*float64(time.Minute))
		cfg.Cut = comparer.Cut{Zone: args.Zone, From: from, Until: until}
		cfg.Length = until + cutMargin
	default:
		return cfg, eris.Wrapf(fault.Malformed, "--case: got %q, expected none, cut or crash", args.Case)
	}
	return cfg, nil
}

// escrow runs the workload in a synctest bubble.
func (args *budgetsArguments) escrow(t *testing.T, cfg comparer.Config, reserve float64) (result comparer.Result, err error) {
	path, err := os.MkdirTemp(args.Data, "papayameasure")
	if err != nil {
		return result, eris.Wrapf(fault.Corrupt, "create temporary directory: %v", err)
	}
	defer func() { _ = os.RemoveAll(path) }()
	cfg.Path, cfg.Reserve = path, reserve
	c := comparer.New(cfg)
	synctest.Test(t, func(*testing.T) { result, err = c.Escrow() })
	return result, err
}

// runAsTest runs f as a test and exits the process. Package synctest only works
// within a test, so f runs as the only test of this program.
func runAsTest(f func(t *testing.T) error) error {
	testing.Init()
	// Keep package testing from parsing the arguments of this program.
	if err := flag.CommandLine.Parse(nil); err != nil {
		return err
	}
	match := func(string, string) (bool, error) { return true, nil }
	testing.Main(match, []testing.InternalTest{{Name: "budgets", F: func(t *testing.T) {
		if err := f(t); err != nil {
			t.Error(err)
		}
	}}}, nil, nil)
	return nil
}

func printRow(name, mix string, seed uint64, division string, r comparer.Result) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	total := r.Total()
	fmt.Printf("| %s | %s | %d | %s | %d | %d | %d | %.2f | %.1f | %d | %d | %d of %d | %d | %.2f | %.2f | %.0f | %.0f | %.2f |\n",
		name, mix, seed, division, total.Requests, r.Overspend, r.Unbilled, r.Phases[comparer.Body].Rate(), r.Phases[comparer.Tail].Rate(),
		r.Cut.Requests, r.Cut.False, r.CutZone.False, r.CutZone.Requests, total.Loose, 100*float64(r.Trips)/float64(max(total.Requests, 1)),
		ms(r.Wait(0.99)), ms(r.Wait(1)), float64(r.Bytes)/r.Time.Seconds(), 100*float64(r.Billed)/float64(r.Prepaid))
}
