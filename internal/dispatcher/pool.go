package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// aliveTimeout bounds the question whether a target is alive.
	aliveTimeout = time.Second
	// aliveAge is the time for which the answer to it holds.
	aliveAge = 250 * time.Millisecond
	// poolAge is the time after which the connections to an unused address are
	// closed.
	poolAge = 10 * time.Minute
)

// pool holds the connections to one address.
type pool struct {
	d       *Dispatcher
	address string

	mu        sync.Mutex
	transport *http.Transport
	// renewed ends when the connections have been renewed.
	renewed context.Context
	replace context.CancelFunc // ends renewed
	used    time.Time

	probe sync.Mutex
	asked time.Time
	alive bool
}

func newTransport(cfg Config, single bool) *http.Transport {
	return &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute, DisableKeepAlives: single, DisableCompression: true}
}

// pool returns the pool of an address.
func (d *Dispatcher) pool(address string) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	p := d.pools[address]
	if p == nil {
		for other, old := range d.pools {
			if now.Sub(old.used) > poolAge {
				old.close()
				delete(d.pools, other)
			}
		}
		p = &pool{d: d, address: address, transport: newTransport(d.cfg, false)}
		p.renewed, p.replace = context.WithCancel(context.Background())
		d.pools[address] = p
	}
	p.used = now
	return p
}

// take returns the present connections and the context that ends with their
// renewal.
func (p *pool) take() (http.RoundTripper, context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.transport, p.renewed
}

// renew gives up all connections after one of those that belong to the context
// has proved dead. The requests on the others check theirs at once.
func (p *pool) renew(of context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if of != p.renewed {
		return // another request has renewed them already
	}
	p.transport.CloseIdleConnections()
	p.transport = newTransport(p.d.cfg, false)
	p.replace()
	p.renewed, p.replace = context.WithCancel(context.Background())
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.transport.CloseIdleConnections()
}

// isAlive asks the target for its load on a new connection. Any answer counts.
// Requests that ask at the same time share one question.
func (p *pool) isAlive() bool {
	p.probe.Lock()
	defer p.probe.Unlock()
	if time.Since(p.asked) < aliveAge {
		return p.alive
	}
	ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
	defer cancel()
	p.alive = false
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+"/v1/load", http.NoBody)
	if err == nil {
		if response, err := p.d.single.RoundTrip(request); err == nil {
			_ = response.Body.Close()
			p.alive = true
		}
	}
	p.asked = time.Now()
	return p.alive
}
