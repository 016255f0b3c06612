// Command papayaengine simulates a model engine. It serves the de facto standard
// completions protocol and announces itself to entry instances; see
// docs/standins.md.
package main

import (
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/engine"
	"github.com/papayapond/papayapond/internal/host"
	"github.com/papayapond/papayapond/internal/starter"
)

type arguments struct {
	starter.Starter

	Models []string `arg:"--model,separate" help:"model that is loaded at the start; may be repeated [default: small]"`

	Slots    int           `arg:"--slots" default:"16" help:"requests in one batch"`
	Queue    int           `arg:"--queue" default:"256" help:"requests that may wait; more are answered 503; 0 is unlimited"`
	Prefill  time.Duration `arg:"--prefill" default:"20us" help:"time per prompt token that isn't cached"`
	Chunk    int           `arg:"--chunk" default:"2048" help:"prompt tokens prefilled in one step of the batch"`
	Decode   time.Duration `arg:"--decode" default:"5ms" help:"time per token with a batch of one"`
	Growth   time.Duration `arg:"--growth" default:"50us" help:"time per token added by each further request in the batch"`
	Blocks   int           `arg:"--blocks" default:"2048" help:"size of the prefix cache, in blocks of 256 bytes of prompt"`
	Output   int           `arg:"--output" default:"256" help:"answer tokens if a request has no max_tokens"`
	Shortest float64       `arg:"--shortest" default:"1" help:"shortest answer as a part of max_tokens, 0 to 1"`

	Linger    time.Duration `arg:"--linger" default:"1s" help:"time for which a stream without a reader runs on, to be resumed"`
	Keep      time.Duration `arg:"--keep" default:"30s" help:"time for which a finished stream can be resumed"`
	Lag       time.Duration `arg:"--lag" default:"500ms" help:"age of the load in announcements"`
	EventLag  time.Duration `arg:"--event-lag" default:"1s" help:"least age of the cache events in announcements"`
	EventLoss float64       `arg:"--event-loss" default:"0.02" help:"part of the cache events that is lost, 0 to 1"`

	LoadTime    time.Duration `arg:"--load-time" default:"2s" help:"time to load a model on order"`
	IgnoreFence bool          `arg:"--ignore-fence" help:"obey orders with an old fencing number"`
	OrderKey    string        `arg:"--order-key" help:"bearer key that orders must have; empty takes orders from anybody"`

	Faults []string `arg:"--fault,separate" help:"fault to produce: KIND[,marker=TEXT][,share=0..1][,times=N][,value=X] with KIND crash, hang, slow, truncate, reset-before, reset-after, status or swap; may be repeated"`
}

// Description returns the text shown by --help.
func (arguments) Description() string {
	return "Stand-in for a model engine. Try: papayaengine --model small, then\n" +
		`curl -d '{"model":"small","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}' http://127.0.0.1:9001/v1/chat/completions`
}

func main() {
	args := arguments{Starter: starter.Starter{Name: "engine-1", Address: "127.0.0.1:9001", Drain: 2 * time.Minute}}
	arg.MustParse(&args)
	if len(args.Models) == 0 {
		args.Models = []string{"small"}
	}
	args.Main("engine", func(log *zap.Logger) (host.Config, error) {
		e, err := engine.New(configure(args, log))
		if err != nil {
			return host.Config{}, err
		}
		return host.Config{Handler: e, Work: e.Run, Report: e.Report, Leave: e.Leave}, nil
	})
}

func configure(args arguments, logger *zap.Logger) engine.Config {
	return engine.Config{
		Name: args.Name, Zone: args.Zone, Address: args.Address, Models: args.Models,
		Slots: args.Slots, Queue: args.Queue, PrefillPerToken: args.Prefill, Chunk: args.Chunk,
		Decode: args.Decode, DecodePerRequest: args.Growth, Blocks: args.Blocks, DefaultMaxTokens: args.Output,
		MinOutputRatio: args.Shortest, Linger: args.Linger, Retention: args.Keep, Lag: args.Lag,
		EventLag: args.EventLag, EventLoss: args.EventLoss, LoadTime: args.LoadTime,
		IgnoreFence: args.IgnoreFence, OrderKey: args.OrderKey, Faults: args.Faults, Seed: args.Seed,
		Incarnation: uint64(time.Now().UnixNano()), Crash: func() { os.Exit(3) }, Logger: logger,
	}
}
