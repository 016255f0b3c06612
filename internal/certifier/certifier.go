package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/fault"
)

// Config configures a Certifier. All files are PEM encoded.
type Config struct {
	// Certificate and Key are the files of this instance.
	Certificate string
	Key         string
	// Authority is the file with the CA certificates of the fleet. During a
	// rotation it holds both the old and the new ones.
	Authority string
	Logger    *zap.Logger
}

// Certifier provides the TLS configurations for connections to and from peers.
// It is safe for concurrent use.
type Certifier struct {
	cfg Config

	mu   sync.Mutex
	last *tls.Config // from the last successful load
}

// New loads the files. Its error wraps fault.Malformed.
func New(cfg Config) (*Certifier, error) {
	c := &Certifier{cfg: cfg}
	last, err := c.read()
	if err != nil {
		return nil, err
	}
	c.last = last
	return c, nil
}

// Server returns the configuration for connections from peers. Peers need a
// certificate signed by a CA of the fleet.
func (c *Certifier) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.current(), nil },
	}
}

// Client returns the configuration for a connection to the named instance,
// whose certificate must be valid for that name.
func (c *Certifier) Client(name string) *tls.Config {
	cfg := c.current().Clone()
	cfg.ServerName = name
	return cfg
}

// current reloads the files and returns their configuration, or the last valid
// one if loading fails: while files are replaced one by one, a certificate and
// its key may not match.
func (c *Certifier) current() *tls.Config {
	cfg, err := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.cfg.Logger.Warn("reloading certificates failed, keeping the previous ones", zap.Error(err))
		return c.last
	}
	c.last = cfg
	return cfg
}

func (c *Certifier) read() (*tls.Config, error) {
	authority, err := os.ReadFile(c.cfg.Authority)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "tls.authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, eris.Wrapf(fault.Malformed, "tls.authority: %s contains no PEM certificate", c.cfg.Authority)
	}
	certificate, err := tls.LoadX509KeyPair(c.cfg.Certificate, c.cfg.Key)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "tls.certificate: %v", err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs: pool, RootCAs: pool, Certificates: []tls.Certificate{certificate},
	}, nil
}
