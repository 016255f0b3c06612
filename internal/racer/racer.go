package racer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/engine"
	"github.com/papayapond/papayapond/internal/loader"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	model = "papaya-small"
	zone  = "a"
	// accounts is the number of client accounts; the first two are large.
	accounts = 10
	// announceTime is the time between two announcements of an engine.
	announceTime = time.Second
	// mix holds the weights of the classes.
	mix = "quote=1,sheet=2,chat=8,tag=6"
	// timeout bounds one request of the load.
	timeout = 30 * time.Second
	// maxOpen bounds the open requests.
	maxOpen = 4000
)

// Config configures a Racer.
type Config struct {
	Engines, Entries int
	Policy           string
	// Rate is the number of requests per second.
	Rate float64
	Time time.Duration
	Seed uint64
	// Unbounded sends without admission.
	Unbounded bool
	Logger    *zap.Logger
}

// Racer plays one run.
type Racer struct {
	cfg     Config
	engines []*engine.Engine
	entries []*entry
	servers []*http.Server
}

// New returns a racer that does nothing until Run.
func New(cfg Config) *Racer { return &Racer{cfg: cfg} }

// Run plays the load and returns the figures of the load generator and the
// part of the prompt tokens that the engines found in their caches.
func (r *Racer) Run(ctx context.Context) (result *loader.Result, hits float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	defer r.close()
	var addresses []string
	clients, list := book()
	for range r.cfg.Entries {
		e, err := newEntry(r.cfg, list)
		if err != nil {
			return nil, 0, err
		}
		address, err := r.serve(e.gateway)
		if err != nil {
			return nil, 0, err
		}
		r.entries = append(r.entries, e)
		addresses = append(addresses, address)
	}
	for i := range r.cfg.Engines {
		if err := r.start(ctx, &wg, i); err != nil {
			return nil, 0, err
		}
	}
	l, err := loader.New(loader.Config{
		Entries: addresses, Clients: clients, Mix: mix, Models: []string{model}, Rate: r.cfg.Rate, Time: r.cfg.Time,
		Seed: r.cfg.Seed, Tag: "race", Timeout: timeout, Open: maxOpen,
	})
	if err != nil {
		return nil, 0, err
	}
	result, err = l.Run(ctx)
	return result, r.hits(), err
}

// start starts an engine and its announcements, which begin at different times
// within the interval.
func (r *Racer) start(ctx context.Context, wg *sync.WaitGroup, i int) error {
	cfg := engine.Config{
		Name: "engine-" + strconv.Itoa(i), Zone: zone, Models: []string{model}, Slots: 16, Queue: 256,
		PrefillPerToken: 32 * time.Microsecond, Chunk: 1024, Decode: 8 * time.Millisecond, DecodePerRequest: 200 * time.Microsecond,
		Blocks: 512, DefaultMaxTokens: 256, MinOutputRatio: 0.5, Linger: time.Second, Retention: time.Second,
		Lag: 500 * time.Millisecond, EventLag: time.Second, EventLoss: 0.02, Seed: r.cfg.Seed + uint64(i), Incarnation: 1, Logger: r.cfg.Logger,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	cfg.Address = listener.Addr().String()
	e, err := engine.New(cfg)
	if err != nil {
		return err
	}
	r.engines = append(r.engines, e)
	r.serveOn(listener, e)
	wg.Go(func() { e.Run(ctx) })
	r.announce(e.Report())
	wg.Go(func() {
		timer := time.NewTimer(announceTime * time.Duration(i+1) / time.Duration(r.cfg.Engines))
		defer timer.Stop()
		for {
			select {
			case <-timer.C:
				r.announce(e.Report())
				timer.Reset(announceTime)
			case <-ctx.Done():
				return
			}
		}
	})
	return nil
}

func (r *Racer) announce(t *wire.Target) {
	for _, e := range r.entries {
		e.registry.Announce(t)
	}
}

func (r *Racer) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	r.serveOn(listener, h)
	return listener.Addr().String(), nil
}

func (r *Racer) serveOn(listener net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: timeout}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with the server
}

func (r *Racer) close() {
	for _, s := range r.servers {
		_ = s.Close() // nothing is in flight any more
	}
	for _, e := range r.entries {
		e.dispatcher.Close()
	}
}

// hits returns the cached part of all prompt tokens.
func (r *Racer) hits() float64 {
	prompt, cached := 0, 0
	for _, e := range r.engines {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/load", http.NoBody))
		var load struct {
			Counts struct {
				Prompt int `json:"prompt_tokens"`
				Cached int `json:"cached_tokens"`
			}
		}
		if json.Unmarshal(w.Body.Bytes(), &load) == nil {
			prompt += load.Counts.Prompt
			cached += load.Counts.Cached
		}
	}
	return float64(cached) / float64(max(prompt, 1))
}

// name returns the name of an account and its share of the requests.
func name(i int) (string, int) {
	share := 1
	if i < 2 {
		share = 6
	}
	return fmt.Sprintf("client-%d", i), share
}
