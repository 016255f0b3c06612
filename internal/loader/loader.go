package loader

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

// maxWait bounds the wait before a retry.
const maxWait = 5 * time.Second

// Config configures a Loader.
type Config struct {
	// Entries are the addresses to send to, host:port, each with the same
	// probability.
	Entries []string
	// Clients are client accounts as "name:key:weight".
	Clients []string
	// Mix is "class=weight,..." with the classes quote, sheet, chat, tag,
	// stock and order.
	Mix     string
	Models  []string
	Service string        // name of the order service
	Rate    float64       // requests per second, Poisson arrivals
	Time    time.Duration // of sending
	Count   int           // requests at most; 0 is as many as fit into Time
	Seed    uint64
	Tag     string        // makes the prompts and keys of this run unique
	Keys    bool          // model requests have an Idempotency-Key too
	Retries int           // per request
	Timeout time.Duration // per attempt
	Open    int           // open requests at most; more are dropped
	Counts  []string      // addresses of order services to compare with
	Answers io.Writer     // one JSON line per request, if not nil
	Client  *http.Client  // replaces the HTTP client if not nil
}

// Loader sends one run of requests.
type Loader struct {
	cfg     Config
	clients []client
	shares  []float64
	mix     []float64

	mu     sync.Mutex
	rng    *rand.Rand // of the choice of entries
	result *Result
	orders map[string]fate
	lines  *json.Encoder
}

// New returns a loader. The error wraps fault.Malformed for a client or a mix
// that can't be read.
func New(cfg Config) (*Loader, error) {
	if len(cfg.Entries) == 0 || len(cfg.Models) == 0 || len(cfg.Clients) == 0 || cfg.Rate <= 0 {
		return nil, eris.Wrap(fault.Malformed, "need at least one entry, model and client, and a positive rate")
	}
	l := &Loader{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		result: newResult(), orders: map[string]fate{},
	}
	var err error
	if l.mix, err = parseMix(cfg.Mix); err != nil {
		return nil, err
	}
	if l.clients, err = parseClients(cfg.Clients); err != nil {
		return nil, err
	}
	for _, c := range l.clients {
		l.shares = append(l.shares, c.weight)
	}
	if cfg.Answers != nil {
		l.lines = json.NewEncoder(cfg.Answers)
	}
	if l.cfg.Client == nil {
		l.cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(cfg.Open, 1)}}
	}
	return l, nil
}

// Run sends the requests, waits for their answers and compares the orders with
// the counts of the order services. It ends early when ctx ends.
func (l *Loader) Run(ctx context.Context) (*Result, error) {
	arrivals := rand.New(rand.NewPCG(l.cfg.Seed, 0))
	start := time.Now()
	due := start
	slots := make(chan struct{}, max(l.cfg.Open, 1))
	var wg sync.WaitGroup
	defer wg.Wait()
	for index := 0; l.cfg.Count == 0 || index < l.cfg.Count; index++ {
		due = due.Add(time.Duration(arrivals.ExpFloat64() / l.cfg.Rate * float64(time.Second)))
		if due.Sub(start) > l.cfg.Time {
			break
		}
		at := due
		r, err := l.build(index)
		if err != nil {
			return nil, err
		}
		if !sleep(ctx, time.Until(at)) {
			break
		}
		select {
		case slots <- struct{}{}:
			wg.Go(func() {
				defer func() { <-slots }()
				l.do(ctx, r, at)
			})
		default:
			l.mu.Lock()
			l.result.Dropped++
			l.mu.Unlock()
		}
	}
	l.result.Sending = time.Since(start).Seconds()
	wg.Wait()
	l.result.Seconds = time.Since(start).Seconds()
	l.cfg.Client.CloseIdleConnections()
	if len(l.cfg.Counts) > 0 {
		if err := l.compare(ctx); err != nil {
			return l.result, err
		}
	}
	return l.result, nil
}

// do sends a request until it succeeds, must not be retried, or the retries
// are used up.
func (l *Loader) do(ctx context.Context, r request, due time.Time) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 100 * time.Millisecond
	wait.MaxInterval = maxWait
	late := time.Since(due)
	entry := l.choose(-1)
	for attempt := 0; ; attempt++ {
		o := l.attempt(ctx, r, l.cfg.Entries[entry], due)
		last := attempt >= l.cfg.Retries || !o.retriable() || ctx.Err() != nil
		l.record(r, o, attempt, last, late)
		if last {
			return
		}
		if !sleep(ctx, max(min(o.after, maxWait), wait.NextBackOff())) {
			return
		}
		entry = l.choose(entry)
	}
}

// choose returns an entry, another than the last one if there are several.
func (l *Loader) choose(last int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.cfg.Entries)
	if last < 0 || n == 1 {
		return l.rng.IntN(n)
	}
	return (last + 1 + l.rng.IntN(n-1)) % n
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
