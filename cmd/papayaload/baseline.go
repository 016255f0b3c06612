package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/loader"
)

const (
	legDirect = "direct"
	legProxy  = "proxy"
	legEntry  = "entry"
)

type baselineArguments struct {
	Engine  string   `arg:"--engine,required" help:"engine to measure alone and behind the proxy, host:port"`
	Entries []string `arg:"--entry,separate" help:"entry instance that uses the engine, host:port; may be repeated; without it this leg is left out"`
	Proxy   string   `arg:"--proxy" help:"reverse proxy in front of the engine, host:port, as started by the mode proxy [default: one in this process]"`
	Mix     string   `arg:"--mix" default:"quote=1,sheet=2,chat=8,tag=6" help:"weights of the classes; an engine has no stock and order"`
	Rounds  int      `arg:"--rounds" default:"2" help:"number of rounds; each measures every leg once, in turn"`
	sharedOptions
}

// measurement is the result of one leg, or network path, in one round.
type measurement struct {
	Round  int            `json:"round"`
	Leg    string         `json:"leg"`
	Result *loader.Result `json:"result"`
}

// baseline runs the same mix directly against the engine, through a plain reverse
// proxy, and through entry instances.
func baseline(ctx context.Context, args *baselineArguments) (broken bool, err error) {
	logger, err := args.logger()
	if err != nil {
		return false, err
	}
	proxy := args.Proxy
	if proxy == "" {
		var stop func()
		if proxy, stop, err = startProxy(args.Engine, "127.0.0.1:0"); err != nil {
			return false, err
		}
		defer stop()
	}
	legs := []string{legDirect, legProxy}
	addresses := map[string][]string{legDirect: {args.Engine}, legProxy: {proxy}, legEntry: args.Entries}
	if len(args.Entries) > 0 {
		legs = append(legs, legEntry)
	}
	var all []measurement
	start := strconv.FormatInt(time.Now().UnixMilli(), 36)
	for round := range args.Rounds {
		for i := range legs {
			// Rotate the order in each round, so that drift in machine
			// performance doesn't favor one leg.
			leg := legs[(i+round)%len(legs)]
			cfg := args.configure()
			cfg.Entries, cfg.Mix = addresses[leg], args.Mix
			// All legs use the same sizes and arrival times, but different
			// prompts, since the engine has cached those of the previous leg.
			cfg.Seed = args.Seed + uint64(round)
			cfg.Tag = fmt.Sprintf("%s-%s", start, leg[:1])
			l, err := loader.New(cfg)
			if err != nil {
				return false, err
			}
			logger.Info("measuring", zap.Int("round", round), zap.String("leg", leg))
			result, err := l.Run(ctx)
			if err != nil {
				return false, err
			}
			broken = broken || result.Broken()
			all = append(all, measurement{round, leg, result})
		}
	}
	return broken, args.report(all)
}

// proxyArguments holds the options of the subcommand proxy, which runs the
// reverse proxy in its own process, so that it can run on other processors than
// the load generator.
type proxyArguments struct {
	Engine  string `arg:"--engine,required" help:"engine to relay to, host:port"`
	Address string `arg:"--address" default:"127.0.0.1:8090" help:"host:port to listen on"`
}

func (args *proxyArguments) run(ctx context.Context) error {
	_, stop, err := startProxy(args.Engine, args.Address)
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop()
	return nil
}

// startProxy starts the reverse proxy of the standard library. It is the baseline
// of the measurement and not part of the product.
func startProxy(engine, listenAddr string) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return "", nil, eris.Wrapf(fault.Unavailable, "proxy: %v", err)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: engine})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}
	server := &http.Server{Handler: proxy, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // http.ErrServerClosed after Close
	}()
	return listener.Addr().String(), func() {
		_ = server.Close() // all responses have been read
		<-done
	}, nil
}

func (args *baselineArguments) report(all []measurement) error {
	if args.JSON {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	line := func(format string, a ...any) { _, _ = fmt.Fprintf(t, format+"\n", a...) } // Flush reports the error
	line("round\tleg\tok\tfailed\tanswers/s\toutput tokens/s\tfirst p50 ms\tp99 ms\tviolations\tfirst p50 and p99 ms by class")
	for _, m := range all {
		tokens, violations := 0, 0
		for _, a := range m.Result.Accounts {
			tokens += a.Completion
		}
		for _, n := range m.Result.Violations {
			violations += n
		}
		classes := ""
		for _, name := range slices.Sorted(maps.Keys(m.Result.Classes)) {
			classes += fmt.Sprintf("%s %.2f %.2f  ", name, m.Result.First(name, 50), m.Result.First(name, 99))
		}
		line("%d\t%s\t%d\t%d\t%.1f\t%.0f\t%.2f\t%.2f\t%d\t%s", m.Round, m.Leg, m.Result.OK, m.Result.Sent-m.Result.OK,
			float64(m.Result.OK)/m.Result.Seconds, float64(tokens)/m.Result.Seconds,
			m.Result.First(loader.All, 50), m.Result.First(loader.All, 99), violations, classes)
	}
	return t.Flush()
}
