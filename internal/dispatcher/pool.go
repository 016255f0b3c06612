package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// probeTimeout bounds a liveness probe of a target.
	probeTimeout = time.Second
	// probeTTL is the time for which the result of a probe is valid.
	probeTTL = 250 * time.Millisecond
	// poolIdleTimeout is the time after which the pool of an unused address is
	// closed.
	poolIdleTimeout = 10 * time.Minute
	// maxHeadBytes is the maximum size of the heads of a response and of the 1xx
	// responses before it.
	maxHeadBytes = 256 << 10
)

// pool holds the connections to one address.
type pool struct {
	d       *Dispatcher
	address string

	mu        sync.Mutex
	transport *http.Transport
	// generation ends when the transport is replaced.
	generation    context.Context
	endGeneration context.CancelFunc
	lastUsed      time.Time

	probeMu  sync.Mutex
	probedAt time.Time
	alive    bool
}

func newTransport(cfg Config, disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext: cfg.Dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableKeepAlives: disableKeepAlives, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// pool returns the pool of an address, creating it if necessary.
func (d *Dispatcher) pool(address string) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	p := d.pools[address]
	if p == nil {
		for other, old := range d.pools {
			if now.Sub(old.lastUsed) > poolIdleTimeout {
				old.close()
				delete(d.pools, other)
			}
		}
		p = &pool{d: d, address: address, transport: newTransport(d.cfg, false)}
		p.generation, p.endGeneration = context.WithCancel(context.Background())
		d.pools[address] = p
	}
	p.lastUsed = now
	return p
}

// current returns the current transport and its generation.
func (p *pool) current() (http.RoundTripper, context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.transport, p.generation
}

// reset replaces the transport after a connection of the given generation has
// proved dead. Requests on its other connections probe theirs at once.
func (p *pool) reset(generation context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if generation != p.generation {
		return // another request has already replaced it
	}
	p.transport.CloseIdleConnections()
	p.transport = newTransport(p.d.cfg, false)
	p.endGeneration()
	p.generation, p.endGeneration = context.WithCancel(context.Background())
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transport.CloseIdleConnections()
}

// isAlive requests the load of the target on a new connection and reports
// whether it gets any response. Concurrent callers share one probe.
func (p *pool) isAlive() bool {
	p.probeMu.Lock()
	defer p.probeMu.Unlock()
	if time.Since(p.probedAt) < probeTTL {
		return p.alive
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	p.alive = false
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+"/v1/load", http.NoBody)
	if err == nil {
		if response, err := p.d.unpooled.RoundTrip(request); err == nil {
			_ = response.Body.Close()
			p.alive = true
		}
	}
	p.probedAt = time.Now()
	return p.alive
}
