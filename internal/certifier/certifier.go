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

// Config configures a Certifier. The files are in PEM form.
type Config struct {
	// Certificate and Key are those of this instance.
	Certificate string
	Key         string
	// Authority holds the certificates of the authorities of the fleet. While
	// they are replaced, it holds the old and the new ones.
	Authority string
	Logger    *zap.Logger
}

// Certifier makes the TLS configurations of connections to and from peers. It
// is safe for concurrent use.
type Certifier struct {
	cfg Config

	mu   sync.Mutex
	last *tls.Config // of the last files that could be read
}

// New reads the files. The error wraps fault.Malformed.
func New(cfg Config) (*Certifier, error) {
	c := &Certifier{cfg: cfg}
	last, err := c.read()
	if err != nil {
		return nil, err
	}
	c.last = last
	return c, nil
}

// Server returns the configuration for connections from peers, which need a
// certificate of an authority of the fleet.
func (c *Certifier) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.present(), nil },
	}
}

// Client returns the configuration for a connection to the named instance,
// whose certificate must be valid for that name.
func (c *Certifier) Client(name string) *tls.Config {
	cfg := c.present().Clone()
	cfg.ServerName = name
	return cfg
}

// present returns the configuration of the present files, or of the last ones
// that could be read: while files are replaced one after the other, a
// certificate and its key may not match.
func (c *Certifier) present() *tls.Config {
	cfg, err := c.read()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.cfg.Logger.Warn("Certificates can't be read again.", zap.Error(err))
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
		return nil, eris.Wrapf(fault.Malformed, "tls.authority: %s holds no certificate", c.cfg.Authority)
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
