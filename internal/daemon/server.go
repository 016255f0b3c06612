package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"storj.io/drpc/drpcserver"

	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/listener"
	"github.com/papayapond/papayapond/internal/settings"
)

// headerTimeout bounds the time in which a caller sends its request header.
const headerTimeout = 10 * time.Second

// loadTLS returns the configuration for mutual TLS between instances, or nil
// if no files are set. The certificate is read again for each connection, so
// that it can be replaced without a restart.
func loadTLS(s settings.Settings) (*tls.Config, error) {
	if s.TLS.Certificate == "" {
		return nil, nil
	}
	authority, err := os.ReadFile(s.TLS.Authority)
	if err != nil {
		return nil, eris.Wrapf(fault.Malformed, "tls.authority: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, eris.Wrapf(fault.Malformed, "tls.authority: %s holds no certificate", s.TLS.Authority)
	}
	load := func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(s.TLS.Certificate, s.TLS.Key)
		if err != nil {
			return nil, eris.Wrapf(fault.Malformed, "tls.certificate: %v", err)
		}
		return &c, nil
	}
	if _, err := load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool, RootCAs: pool,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return load() },
	}, nil
}

// peerServer serves drpc to other instances. The services register on the mux
// while the later parts are being built.
func (b *builder) peerServer() fx.Option {
	return kernel.Part(nameMux, func(k *kernel.Kernel) (any, fx.Hook, error) {
		server := drpcserver.NewWithOptions(b.mux, drpcserver.Options{Manager: dialer.Options()})
		serve := func(ctx context.Context, l net.Listener) {
			if err := server.Serve(ctx, l); err != nil && ctx.Err() == nil {
				k.Logger("peer").Error("Serving peers failed.", zap.Error(err))
			}
		}
		return b.mux, b.listener(b.settings.Peer, b.tls, serve), nil
	})
}

// listener returns a hook that opens the address at start and serves it until
// stop.
func (b *builder) listener(address string, secure *tls.Config, serve func(context.Context, net.Listener)) fx.Hook {
	var l net.Listener
	hook := kernel.Hook(func(ctx context.Context) { serve(ctx, l) })
	run := hook.OnStart
	hook.OnStart = func(ctx context.Context) error {
		var err error
		if l, err = b.listen("tcp", address); err != nil {
			return eris.Wrapf(fault.Unavailable, "listen on %s: %v", address, err)
		}
		if secure != nil {
			l = tls.NewListener(l, secure)
		}
		return run(ctx)
	}
	return hook
}

// httpServer returns a hook that serves a handler on an address. Requests in
// flight end before it stops.
func (b *builder) httpServer(part, address string, handler http.Handler) fx.Hook {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(b.logger.Named(part))}
	hook := b.listener(address, nil, func(_ context.Context, l net.Listener) {
		if err := server.Serve(listener.New(listener.Config{Listener: l})); err != nil && !errors.Is(err, http.ErrServerClosed) {
			b.logger.Named(part).Error("Serving HTTP failed.", zap.Error(err))
		}
	})
	wait := hook.OnStop
	hook.OnStop = func(ctx context.Context) error {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
			return eris.Wrapf(err, "stop %s", part)
		}
		return wait(ctx)
	}
	return hook
}
