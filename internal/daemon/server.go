package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/zap"
	"storj.io/drpc/drpcserver"

	"github.com/papayapond/papayapond/internal/certifier"
	"github.com/papayapond/papayapond/internal/dialer"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/kernel"
	"github.com/papayapond/papayapond/internal/listener"
	"github.com/papayapond/papayapond/internal/settings"
)

// headerTimeout bounds the time in which a caller sends its request header.
const headerTimeout = 10 * time.Second

// newCertifier returns what makes the configurations for mutual TLS between
// instances, or nil if no files are set.
func newCertifier(s settings.Settings, logger *zap.Logger) (*certifier.Certifier, error) {
	if s.TLS.Certificate == "" {
		return nil, nil
	}
	return certifier.New(certifier.Config{
		Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority, Logger: logger.Named("certifier"),
	})
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
		var secure *tls.Config
		if b.certifier != nil {
			secure = b.certifier.Server()
		}
		return b.mux, b.listener(b.settings.Peer, secure, serve), nil
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
