// Command papayaload sends a mix of requests to entry instances at a given
// rate, checks each answer and prints the times; see docs/standins.md.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/loader"
)

// exitBroken is the exit status if an answer broke a promise to a caller.
const exitBroken = 10

// common are the options of both modes.
type common struct {
	Clients []string      `arg:"--client,separate" help:"client account as name:key:weight; may be repeated [default: one large and two small ones named load-1 to load-3]"`
	Models  []string      `arg:"--model,separate" help:"model to ask; may be repeated [default: small]"`
	Rate    float64       `arg:"--rate" default:"20" help:"requests per second; a slow answer doesn't delay the next request"`
	Time    time.Duration `arg:"--time" default:"10s" help:"time of sending"`
	Count   int           `arg:"--count" help:"requests at most; 0 is as many as fit into --time"`
	Seed    uint64        `arg:"--seed" default:"1" help:"seed of the mix and of the arrivals"`
	Timeout time.Duration `arg:"--timeout" default:"60s" help:"time for one attempt"`
	Open    int           `arg:"--open" default:"2000" help:"requests that may be open; more are dropped and counted"`
	JSON    bool          `arg:"--json" help:"print JSON instead of text"`
	Level   string        `arg:"--level" default:"info" help:"log level: debug, info, warn or error"`
}

type runArguments struct {
	Entries []string `arg:"--entry,separate,required" help:"entry instance, host:port; may be repeated"`
	Mix     string   `arg:"--mix" default:"quote=1,sheet=2,chat=8,tag=6,stock=2,order=1" help:"weights of the classes"`
	Service string   `arg:"--service" default:"orders" help:"name of the order service"`
	Tag     string   `arg:"--tag" help:"part of all prompts and keys; two runs with the same tag and seed send the same keys [default: the time]"`
	Keys    bool     `arg:"--keys" help:"send an Idempotency-Key with model requests too"`
	Retries int      `arg:"--retries" help:"retries of a request with the same key, as an honest caller does; implies --keys"`
	Counts  []string `arg:"--counts,separate" help:"address of an order service, to compare its counts of orders with the answers; may be repeated"`
	Answers string   `arg:"--answers" help:"file for one JSON line per request"`
	common
}

type arguments struct {
	Run      *runArguments      `arg:"subcommand:run" help:"send requests to entry instances"`
	Baseline *baselineArguments `arg:"subcommand:baseline" help:"compare an engine alone, behind a plain reverse proxy, and behind entry instances"`
	Proxy    *proxyArguments    `arg:"subcommand:proxy" help:"run the plain reverse proxy of the baseline"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "Load generator. Try: papayaload run --entry 127.0.0.1:8080 --client acme:KEY:1 --rate 20 --time 10s\n" +
		"The exit status is 10 if an answer was not the caller's own, not whole, or an order ran twice."
}

func main() { os.Exit(execute()) }

func execute() (status int) {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var broken bool
	var err error
	switch {
	case args.Run != nil:
		broken, err = run(ctx, args.Run)
	case args.Baseline != nil:
		broken, err = baseline(ctx, args.Baseline)
	case args.Proxy != nil:
		err = args.Proxy.run(ctx)
	default:
		parser.Fail("name a mode: run, baseline or proxy")
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "papayaload:", err)
		return fault.Of(err).ExitCode()
	case broken:
		return exitBroken
	}
	return 0
}

func run(ctx context.Context, args *runArguments) (broken bool, err error) {
	logger, err := args.logger()
	if err != nil {
		return false, err
	}
	if args.Tag == "" {
		args.Tag = strconv.FormatInt(time.Now().UnixMilli(), 36)
	}
	cfg := args.configure()
	cfg.Entries, cfg.Mix, cfg.Service, cfg.Tag = args.Entries, args.Mix, args.Service, args.Tag
	cfg.Keys, cfg.Retries, cfg.Counts = args.Keys || args.Retries > 0, args.Retries, args.Counts
	if args.Answers != "" {
		f, err := os.Create(args.Answers)
		if err != nil {
			return false, eris.Wrap(err, "answers")
		}
		defer f.Close()
		cfg.Answers = f
	}
	l, err := loader.New(cfg)
	if err != nil {
		return false, err
	}
	logger.Info("Sending.", zap.Strings("entries", args.Entries), zap.Float64("rate", args.Rate), zap.String("tag", args.Tag))
	result, err := l.Run(ctx)
	if err != nil {
		return false, err
	}
	return result.Broken(), args.print(result)
}

// configure returns the configuration without entries, mix and tag.
func (c *common) configure() loader.Config {
	if len(c.Clients) == 0 {
		c.Clients = []string{"load-1:load-1:6", "load-2:load-2:1", "load-3:load-3:1"}
	}
	if len(c.Models) == 0 {
		c.Models = []string{"small"}
	}
	return loader.Config{
		Clients: c.Clients, Models: c.Models, Rate: c.Rate, Time: c.Time, Count: c.Count, Seed: c.Seed,
		Timeout: c.Timeout, Open: c.Open,
		Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Open, DisableCompression: true}},
	}
}

func (c *common) logger() (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(c.Level)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "--level: %v", err)
	}
	cfg.Level = level
	logger, err := cfg.Build()
	return logger.Named("load"), err
}

func (c *common) print(result *loader.Result) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(result)
	}
	return result.Write(os.Stdout)
}
