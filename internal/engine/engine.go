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

// Roles of an engine.
const (
	roleBoth = "both"
	// lateBound is the time after which a leaving target gets no new work
	// (requirement R6).
	lateBound = 3 * time.Second
)

// Faults are the kinds of faults that an engine produces.
var faults = []string{"crash", "hang", "slow", "truncate", "reset-before", "reset-after", "status", "swap"}

// Config configures an Engine. Durations and bounds may be zero.
type Config struct {
	Name, Zone, Address string
	Models              []string
	Slots               int           // size of the batch
	Queue               int           // requests that may wait; more are refused
	PrefillPerToken     time.Duration // per prompt token that isn't cached
	Chunk               int           // prompt tokens prefilled in one step
	Decode              time.Duration // one step with a batch of one
	DecodePerRequest    time.Duration // added per further request in the batch
	Blocks              int           // size of the prefix cache
	DefaultMaxTokens    int           // tokens if a request has no max_tokens
	MinOutputRatio      float64       // shortest answer as a part of max_tokens
	Linger              time.Duration // a stream without a reader runs on
	Retention           time.Duration // a finished stream can be resumed
	Lag                 time.Duration // age of the load in announcements
	EventLag            time.Duration // age of cache events in announcements
	EventLoss           float64       // part of the cache events that is lost
	LoadTime            time.Duration // to load a model
	IgnoreFence         bool          // obeys orders with an old number
	OrderKey            string        // bearer key for orders; empty takes any
	Faults              []string      // rules, see package injector
	Seed                uint64
	Incarnation         uint64
	// Crash ends the process at once.
	Crash  func()
	Now    func() time.Time
	Logger *zap.Logger
}

// Engine is a stand-in for a model engine. Run does the work; the HTTP handler
// only queues requests and relays what Run produces.
type Engine struct {
	cfg    Config
	router *mux.Router
	faults *injector.Injector
	wake   chan struct{}

	mu      sync.Mutex
	waiting queue
	running []*run
	streams map[string]*run // the newest run of each request id
	cache   *cache
	models  map[string]bool
	role    string
	fence   uint64
	orders  []order
	samples []sample
	swap    *partner
	rng     *rand.Rand
	arrived uint64
	left    time.Time // when the engine began to leave
	counts  counts
}

// counts are totals since the start.
type counts struct {
	Started   uint64 `json:"started"`
	Finished  uint64 `json:"finished"`
	Cancelled uint64 `json:"cancelled"`
	Refused   uint64 `json:"refused"`
	Late      uint64 `json:"late"` // arrived over 3 s after the engine began to leave
	Prompt    uint64 `json:"prompt_tokens"`
	Cached    uint64 `json:"cached_tokens"`
	Output    uint64 `json:"completion_tokens"`
}

// New returns an engine that does no work until Run is called. The error wraps
// fault.Malformed if a rule of Faults can't be read.
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
	r.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", e.history).Methods(http.MethodGet)
	r.HandleFunc("/v1/models", e.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/load", e.load).Methods(http.MethodGet)
	r.Handle("/v1/faults", inj).Methods(http.MethodGet, http.MethodPut)
	e.router = r
	return e, nil
}

// ServeHTTP serves the protocol of the engine.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

// Leave makes the engine announce that it is leaving. It still takes requests,
// since the entry instances learn of it a little later.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left.IsZero() {
		e.left = e.cfg.Now()
	}
}

// Run executes steps of the batch until ctx ends. A step prefills up to Chunk
// prompt tokens and decodes one token for each request that is prefilled.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	next := e.cfg.Now()
	for {
		took, busy := e.begin()
		if !busy {
			select {
			case <-e.wake:
				next = e.cfg.Now()
				continue
			case <-ctx.Done():
				return
			}
		}
		// Steps follow each other without a gap, so that the coarse timer
		// doesn't slow the engine down.
		if now := e.cfg.Now(); next.Before(now.Add(-took)) {
			next = now
		}
		next = next.Add(took)
		timer.Reset(next.Sub(e.cfg.Now()))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		e.end()
	}
}

// begin admits requests to the batch and returns the time that the step takes.
func (e *Engine) begin() (took time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sample()
	for len(e.running) < e.cfg.Slots && e.waiting.size() > 0 {
		r := e.waiting.take()
		e.admit(r)
		e.running = append(e.running, r)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	chunk, decoding := e.cfg.Chunk, 0
	for _, r := range e.running {
		r.step = min(r.left, chunk)
		chunk -= r.step
		if r.step == r.left {
			decoding++
		}
	}
	took = time.Duration(e.cfg.Chunk-chunk) * e.cfg.PrefillPerToken
	if decoding > 0 {
		took += e.cfg.Decode + time.Duration(decoding-1)*e.cfg.DecodePerRequest
	}
	if factor, ok := e.faults.Hit("slow", ""); ok && factor > 0 {
		took = time.Duration(float64(took) * factor)
	}
	return took, true
}

// admit counts the cached part of the prompt and stores the rest.
func (e *Engine) admit(r *run) {
	r.cached = min(e.cache.match(r.blocks)*blockTokens, r.prompt-1)
	r.left = r.prompt - r.cached
	e.cache.store(r.blocks)
	e.counts.Prompt += uint64(r.prompt)
	e.counts.Cached += uint64(r.cached)
}

// end applies the step to the batch.
func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.running[:0]
	for _, r := range e.running {
		if r.state != active {
			continue
		}
		r.left -= r.step
		if r.left == 0 && !r.stuck() {
			r.done++
			e.counts.Output++
			if r.done == r.answer.Size() {
				e.finish(r, finished)
			}
			r.signal()
		}
		if r.state == active {
			kept = append(kept, r)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// finish ends a run and forgets it after Keep. The caller holds the lock.
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
