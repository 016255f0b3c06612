package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/injector"
)

const (
	// roleBoth is the default role of an engine.
	roleBoth = "both"
	// leaveGrace is the time after which a leaving target must not receive new
	// work (requirement R6).
	leaveGrace = 3 * time.Second
)

// faults are the kinds of faults that an engine can inject.
var faults = []string{"crash", "hang", "slow", "truncate", "reset-before", "reset-after", "status", "swap"}

// Config configures an Engine. Durations and bounds may be zero.
type Config struct {
	Name, Zone, Address string
	Models              []string
	Slots               int           // size of the batch
	Queue               int           // maximum number of waiting requests; 0 is no limit
	PrefillPerToken     time.Duration // per uncached prompt token
	Chunk               int           // prompt tokens prefilled per step
	Decode              time.Duration // per step with a batch of one
	DecodePerRequest    time.Duration // added per additional request in the batch
	Blocks              int           // size of the prefix cache, in blocks
	DefaultMaxTokens    int           // if a request has no max_tokens
	MinOutputRatio      float64       // shortest completion relative to max_tokens
	Linger              time.Duration // until a stream without a reader is cancelled
	Retention           time.Duration // for which a finished stream can be resumed
	Lag                 time.Duration // age of the load in announcements
	EventLag            time.Duration // age of cache events in announcements
	EventLoss           float64       // fraction of cache events that is dropped
	LoadTime            time.Duration // to load a model
	IgnoreFence         bool          // accept orders with a stale fencing token
	OrderKey            string        // bearer token for orders; empty accepts any
	Faults              []string      // rules, see package injector
	Seed                uint64
	Incarnation         uint64
	// Crash terminates the process immediately.
	Crash  func()
	Now    func() time.Time
	Logger *zap.Logger
}

// Engine is a stand-in for a model engine. Run does the work; the HTTP handlers
// only queue requests and relay the output of Run.
type Engine struct {
	cfg    Config
	router *mux.Router
	faults *injector.Injector
	wake   chan struct{}

	mu         sync.Mutex
	waiting    queue
	running    []*run
	streams    map[string]*run // latest run of each request ID
	cache      *cache
	models     map[string]bool
	role       string
	fence      uint64
	orders     []order
	samples    []sample
	swapWaiter *swapRequest
	rng        *rand.Rand
	arrivals   uint64
	leftAt     time.Time // when Leave was called, or zero
	counts     counts
}

// counts are totals since the process started.
type counts struct {
	Started   uint64 `json:"started"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	Refused   uint64 `json:"refused"`
	Late      uint64 `json:"late"` // arrived more than leaveGrace after Leave
	Prompt    uint64 `json:"prompt_tokens"`
	Cached    uint64 `json:"cached_tokens"`
	Output    uint64 `json:"completion_tokens"`
}

// New returns an Engine that does no work until Run is called. The error wraps
// fault.Malformed if a rule of Faults can't be parsed.
func New(cfg Config) (*Engine, error) {
	inj, err := injector.New(faults, cfg.Faults, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	cfg.Slots, cfg.Chunk = max(cfg.Slots, 1), max(cfg.Chunk, 1)
	e := &Engine{
		cfg: cfg, faults: inj, wake: make(chan struct{}, 1),
		streams: map[string]*run{}, models: map[string]bool{}, role: roleBoth,
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
	}
	e.cache = newCache(cfg.Blocks, cfg.Now)
	for _, m := range cfg.Models {
		e.models[m] = true
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/cancel", e.cancel).Methods(http.MethodPost)
	r.HandleFunc("/tokenize", e.tokenize).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.handleOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.listOrders).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", e.listModels).Methods(http.MethodGet)
	r.HandleFunc("/v1/load", e.reportLoad).Methods(http.MethodGet)
	r.Handle("/v1/faults", inj).Methods(http.MethodGet, http.MethodPut)
	e.router = r
	return e, nil
}

// ServeHTTP serves the HTTP API of the engine.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Leave makes the engine announce that it is leaving. The engine still accepts
// requests, since the entry instances learn of it with a delay.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leftAt.IsZero() {
		e.leftAt = e.cfg.Now()
	}
}

// Run executes batch steps until ctx ends. A step prefills up to Chunk prompt
// tokens and decodes one token for each prefilled request.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := e.cfg.Now()
	for {
		duration, busy := e.beginStep()
		if !busy {
			select {
			case <-e.wake:
				next = e.cfg.Now()
				continue
			case <-ctx.Done():
				return
			}
		}
		// Schedule each step from the planned end of the previous one, so that the
		// coarse timer doesn't slow the engine down.
		if now := e.cfg.Now(); next.Before(now.Add(-duration)) {
			next = now
		}
		next = next.Add(duration)
		timer.Reset(next.Sub(e.cfg.Now()))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		e.endStep()
	}
}

// beginStep admits requests to the batch and returns the duration of the step.
func (e *Engine) beginStep() (duration time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sample()
	for len(e.running) < e.cfg.Slots && e.waiting.size() > 0 {
		r := e.waiting.pop()
		e.admit(r)
		e.running = append(e.running, r)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	chunk, decoding := e.cfg.Chunk, 0
	for _, r := range e.running {
		r.stepPrefill = min(r.prefillLeft, chunk)
		chunk -= r.stepPrefill
		if r.stepPrefill == r.prefillLeft {
			decoding++
		}
	}
	duration = time.Duration(e.cfg.Chunk-chunk) * e.cfg.PrefillPerToken
	if decoding > 0 {
		duration += e.cfg.Decode + time.Duration(decoding-1)*e.cfg.DecodePerRequest
	}
	if factor, ok := e.faults.Hit("slow", ""); ok && factor > 0 {
		duration = time.Duration(float64(duration) * factor)
	}
	return duration, true
}

// admit determines the cached part of the prompt and stores the prompt in the
// cache.
func (e *Engine) admit(r *run) {
	r.cached = min(e.cache.match(r.blocks)*blockTokens, r.prompt-1)
	r.prefillLeft = r.prompt - r.cached
	e.cache.store(r.blocks)
	e.counts.Prompt += uint64(r.prompt)
	e.counts.Cached += uint64(r.cached)
}

// endStep applies the results of the step to the batch.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, r := range e.running {
		if r.state != active {
			continue
		}
		r.prefillLeft -= r.stepPrefill
		if r.prefillLeft == 0 && !r.hung() {
			r.output++
			e.counts.Output++
			if r.output == r.completion.Size() {
				e.finish(r, finished)
			}
			r.notify()
		}
		if r.state == active {
			kept = append(kept, r)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// finish ends a run and deletes it after Retention. The caller holds e.mu.
func (e *Engine) finish(r *run, s state) {
	r.state = s
	if s == finished {
		e.counts.Finished++
	} else {
		e.counts.Cancelled++
	}
	time.AfterFunc(e.cfg.Retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[r.id] == r {
			delete(e.streams, r.id)
		}
	})
}
