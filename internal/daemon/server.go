package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
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

// headerTimeout bounds the time to read a request header.
const headerTimeout = 10 * time.Second

// newCertifier returns the source of the configurations for mutual TLS between
// instances, or nil if the settings name no certificate.
func newCertifier(s settings.Settings, logger *zap.Logger) (*certifier.Certifier, error) {
	if s.TLS.Certificate == "" {
		return nil, nil
	}
	return certifier.New(certifier.Config{
		Certificate: s.TLS.Certificate, Key: s.TLS.Key, Authority: s.TLS.Authority, Logger: logger.Named("certifier"),
	})
}

// peerServer serves DRPC to other instances. Components built later register
// their services on the mux.
func (b *builder) peerServer() fx.Option {
	return kernel.Part(nameMux, func(k *kernel.Kernel) (any, fx.Hook, error) {
		server := drpcserver.NewWithOptions(b.mux, drpcserver.Options{Manager: dialer.Options()})
		serve := func(ctx context.Context, l net.Listener) {
			if err := server.Serve(ctx, l); err != nil && ctx.Err() == nil {
				k.Logger("peer").Error("peer server failed", zap.Error(err))
			}
		}
		var tlsConfig *tls.Config
		if b.certifier != nil {
			tlsConfig = b.certifier.Server()
		}
		return b.mux, b.listener(b.settings.Peer, tlsConfig, serve), nil
	})
}

// listener returns a hook that listens on address at startup and serves
// connections until shutdown.
func (b *builder) listener(address string, tlsConfig *tls.Config, serve func(context.Context, net.Listener)) fx.Hook {
	var l net.Listener
	hook := kernel.Hook(func(ctx context.Context) { serve(ctx, l) })
	run := hook.OnStart
	hook.OnStart = func(ctx context.Context) error {
		var err error
		if l, err = b.listen("tcp", address); err != nil {
			return eris.Wrapf(fault.Unavailable, "listen on %s: %v", address, err)
		}
		if tlsConfig != nil {
			l = tls.NewListener(l, tlsConfig)
		}
		return run(ctx)
	}
	return hook
}

// httpServer returns a hook that serves handler on address. Shutdown waits for
// requests in flight.
func (b *builder) httpServer(part, address string, handler http.Handler) fx.Hook {
	var stopping atomic.Bool
	server := &http.Server{ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(b.logger.Named(part))}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	var serving atomic.Pointer[listener.Listener]
	hook := b.listener(address, nil, func(_ context.Context, l net.Listener) {
		callers := listener.New(listener.Config{Listener: l, Logger: b.logger.Named(part)})
		server.ConnState = callers.ConnState
		serving.Store(callers)
		if err := server.Serve(callers); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			b.logger.Named(part).Error("HTTP server failed", zap.Error(err))
		}
	})
	wait := hook.OnStop
	hook.OnStop = func(ctx context.Context) error {
		stopping.Store(true)
		var err error
		if callers := serving.Load(); callers != nil {
			err = callers.Drain(ctx)
		}
		_ = server.Close() // the connections that are left end with the process
		if err != nil {
			return eris.Wrapf(err, "stop %s", part)
		}
		return wait(ctx)
	}
	return hook
}
