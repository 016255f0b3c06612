package collector

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// sendTimeout limits one batch.
	sendTimeout = 450 * time.Millisecond
	// answerTimeout limits the wait of a caller, for the batch before its own
	// included. It is shorter than the caller's timeout, so that the caller gets an
	// answer and keeps its connection: connections that were closed and opened again
	// kept an overload going.
	answerTimeout = 400 * time.Millisecond
	// slowBatch is the time of a batch above which the next ones hold half as many
	// calls, at least minCalls, so that a leader with little time answers some of them.
	slowBatch = 200 * time.Millisecond
	minCalls  = 8
	// maxCalls, maxListings and maxAlive bound a batch, so that one command of
	// the log holds it.
	maxCalls    = 256
	maxListings = 1024
	maxAlive    = 4096
)

// Config configures a Collector.
type Config struct {
	// Send passes a batch on to the leader. It fills in what belongs to no call.
	Send func(context.Context, *wire.BatchRequest) (*wire.BatchReply, error)
	// Pause returns the least time between the beginnings of two batches.
	Pause func() time.Duration
	Now   func() time.Time
}

// Collector gathers calls and announcements. It is safe for concurrent use.
type Collector struct {
	cfg Config

	mu       sync.Mutex
	sending  bool // a goroutine sends batches
	calls    []*pending[*wire.SyncRequest, *wire.BatchResult]
	listings []*pending[*wire.Listing, struct{}]
	alive    map[string]struct{}
	limit    int       // of calls in the next batch
	answered time.Time // when the last answered batch was sent
}

// pending is a message that waits for its result.
type pending[Q, R any] struct {
	ctx  context.Context
	q    Q
	done chan result[R] // has capacity 1 and receives exactly one result
}

type result[R any] struct {
	r   R
	err error
}

func newPending[Q, R any](ctx context.Context, q Q) *pending[Q, R] {
	return &pending[Q, R]{ctx: ctx, q: q, done: make(chan result[R], 1)}
}

// wait returns the result.
func (p *pending[Q, R]) wait() (R, error) {
	select {
	case r := <-p.done:
		return r.r, r.err
	case <-p.ctx.Done():
		var none R
		return none, eris.Wrapf(fault.Unavailable, "waiting for the leader: %v", p.ctx.Err())
	}
}

// finish delivers the result.
func (p *pending[Q, R]) finish(r R, err error) { p.done <- result[R]{r, err} }

// New returns a collector without messages.
func New(cfg Config) *Collector {
	if cfg.Pause == nil {
		cfg.Pause = func() time.Duration { return 0 }
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Collector{cfg: cfg, alive: map[string]struct{}{}, limit: maxCalls}
}

// Sync passes on the call of an entry instance and returns the part of the reply
// that only the leader knows. A waiting call of the same incarnation is replaced:
// its caller has given up.
func (c *Collector) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.BatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	p := newPending[*wire.SyncRequest, *wire.BatchResult](ctx, q)
	c.mu.Lock()
	for i, old := range c.calls {
		if old.q.Instance == q.Instance {
			old.finish(nil, eris.Wrapf(fault.Conflict, "a later call of %s has arrived", q.Instance))
			c.calls = slices.Delete(c.calls, i, i+1)
			break
		}
	}
	c.calls = append(c.calls, p)
	c.mu.Unlock()
	c.Flush()
	return p.wait()
}

// Enlist passes on an announcement and returns once the leader has accepted it.
func (c *Collector) Enlist(ctx context.Context, l *wire.Listing) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	p := newPending[*wire.Listing, struct{}](ctx, l)
	c.mu.Lock()
	c.listings = append(c.listings, p)
	c.mu.Unlock()
	c.Flush()
	_, err := p.wait()
	return err
}

// KeepAlive passes on, with the next batch, that a target has announced itself.
func (c *Collector) KeepAlive(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.alive) < maxAlive {
		c.alive[target] = struct{}{}
	}
}

// SinceContact returns the time since the last answered batch was sent.
func (c *Collector) SinceContact() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Now().Sub(c.answered)
}

// Flush sends what is waiting if no batch is being sent. Announcements without a
// change wait for it, or for a batch with something else.
func (c *Collector) Flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sending || len(c.calls) == 0 && len(c.listings) == 0 && len(c.alive) == 0 {
		return
	}
	c.sending = true
	go c.run()
}

// run sends batches until nothing is waiting.
func (c *Collector) run() {
	for {
		started := time.Now()
		if !c.flush() {
			return
		}
		time.Sleep(c.cfg.Pause() - time.Since(started))
	}
}

// flush sends all that is waiting, up to the bounds of a batch. It returns false if
// there is nothing.
func (c *Collector) flush() bool {
	calls, listings, alive := c.take()
	if len(calls) == 0 && len(listings) == 0 && len(alive) == 0 {
		return false
	}
	q := &wire.BatchRequest{Alive: alive}
	for _, p := range calls {
		q.Calls = append(q.Calls, p.q)
	}
	for _, p := range listings {
		q.Listings = append(q.Listings, p.q)
	}
	sent, started := c.cfg.Now(), time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	reply, err := c.cfg.Send(ctx, q)
	c.adapt(time.Since(started))
	if err == nil {
		err = reply.Fault.Err()
	}
	if err == nil && len(reply.Results) != len(calls) {
		err = eris.Wrapf(fault.Corrupt, "reply to %d calls has %d results", len(calls), len(reply.Results))
	}
	if err == nil {
		c.mu.Lock()
		c.answered = sent
		c.mu.Unlock()
	}
	for i, p := range calls {
		if err != nil {
			p.finish(nil, err)
		} else {
			p.finish(reply.Results[i], nil)
		}
	}
	for _, p := range listings {
		p.finish(struct{}{}, err)
	}
	return true
}

// adapt sets the number of calls in the next batch by the time that the last one took.
func (c *Collector) adapt(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if took > slowBatch {
		c.limit = max(c.limit/2, minCalls)
	} else {
		c.limit = min(c.limit+minCalls, maxCalls)
	}
}

// take removes what the next batch holds, and notes whether there is anything.
// Messages whose senders have given up are dropped.
func (c *Collector) take() (calls []*pending[*wire.SyncRequest, *wire.BatchResult], listings []*pending[*wire.Listing, struct{}], alive []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls, c.calls = split(c.calls, c.limit)
	listings, c.listings = split(c.listings, maxListings)
	for id := range c.alive {
		alive = append(alive, id)
	}
	slices.Sort(alive)
	clear(c.alive)
	c.sending = len(calls) > 0 || len(listings) > 0 || len(alive) > 0
	return calls, listings, alive
}

// split returns at most n messages whose senders still wait, and the rest.
func split[Q, R any](list []*pending[Q, R], n int) (taken, rest []*pending[Q, R]) {
	list = slices.DeleteFunc(list, func(p *pending[Q, R]) bool { return p.ctx.Err() != nil })
	n = min(n, len(list))
	return slices.Clone(list[:n]), slices.Clone(list[n:])
}
