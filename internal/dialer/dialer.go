package dialer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// dialTimeout bounds a connection attempt to a peer in the same region.
	dialTimeout = time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
	// keepAlive detects connections that a middlebox has dropped silently.
	keepAlive = 5 * time.Second
	// maxIdlePerPeer bounds the idle connections kept open per peer.
	maxIdlePerPeer = 16
	// maxMessageSize bounds a message, in bytes. The largest messages are
	// ledger snapshots, with about 300 bytes per account.
	maxMessageSize = 256 << 20
)

// Config configures a Dialer.
type Config struct {
	// Addresses maps instance names to addresses; nil if the names are
	// addresses themselves.
	Addresses map[string]string
	// TLS returns the configuration for a connection to the named instance. If
	// it is nil, connections don't use TLS.
	TLS func(name string) *tls.Config
	// Dial replaces the TCP dialer if it isn't nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Dialer keeps a pool of connections per peer. A connection carries one call
// at a time. It is safe for concurrent use.
type Dialer struct {
	cfg  Config
	mu   sync.Mutex
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// New returns a dialer without open connections.
func New(cfg Config) *Dialer {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return &Dialer{cfg: cfg, pool: newPool()}
}

// Conn returns a connection to the named instance. It is dialed on the first
// call. Calls to an unknown name fail with fault.Missing.
func (d *Dialer) Conn(name string) drpcpool.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Get(context.Background(), name, d.dial)
}

// Renew closes the pooled connections, so that the next calls dial again. Use
// it when a pooled connection turns out to be dead.
func (d *Dialer) Renew() {
	d.mu.Lock()
	old := d.pool
	d.pool = newPool()
	d.mu.Unlock()
	_ = old.Close()
}

// Close closes all pooled connections.
func (d *Dialer) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return eris.Wrap(d.pool.Close(), "close connections")
}

func (d *Dialer) dial(ctx context.Context, name string) (*drpcconn.Conn, error) {
	address, ok := d.cfg.Addresses[name]
	if d.cfg.Addresses == nil {
		address, ok = name, true
	}
	if !ok {
		return nil, eris.Wrapf(fault.Missing, "peer %s", name)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.cfg.Dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(fault.Unavailable, "dial peer %s: %v", name, err)
	}
	if d.cfg.TLS != nil {
		secure := tls.Client(conn, d.cfg.TLS(name))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, eris.Wrapf(fault.Unauthorized, "TLS handshake with peer %s: %v", name, err)
		}
		conn = secure
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: Options()}), nil
}

// Options returns the drpc options that both ends of a connection use.
func Options() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}
}

func newPool() *drpcpool.Pool[string, *drpcconn.Conn] {
	return drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerPeer})
}
