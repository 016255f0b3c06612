package watcher

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/wire"
)

// Silence is the time without updates after which a stream counts as dead. A
// publisher sends at least one update per second.
const Silence = 3 * time.Second

// Config configures a Watcher.
type Config struct {
	// Watch opens an update stream from an instance.
	Watch func(ctx context.Context, instance string, request *wire.WatchRequest) (wire.DRPCFleet_WatchClient, error)
	// Silent is called when a stream times out.
	Silent func(instance string)
	// Logger is told why streams end; nil for none.
	Logger *zap.Logger
}

// Watcher follows update streams. It is safe for concurrent use.
type Watcher struct {
	cfg Config
}

// New returns a watcher.
func New(cfg Config) *Watcher {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Watcher{cfg: cfg}
}

// Follow passes the updates of one stream to handle until the stream ends or
// times out, or handle fails. It reports whether it received an update, and
// returns the error of handle. Silent doesn't run while an update is handled, nor
// after Follow has returned.
func (w *Watcher) Follow(ctx context.Context, instance string, request *wire.WatchRequest, handle func(*wire.Update) error) (received bool, err error) {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	called := make(chan struct{})
	timer := time.AfterFunc(Silence, func() {
		defer close(called)
		w.cfg.Silent(instance)
		cancel()
	})
	// disarm stops the timer, or waits for Silent and returns false.
	disarm := func() bool {
		if timer.Stop() {
			return true
		}
		<-called
		return false
	}
	stream, err := w.cfg.Watch(streamCtx, instance, request)
	if err != nil {
		disarm()
		w.logEnd(ctx, instance, false, err)
		return false, nil
	}
	defer stream.Close()
	for {
		update, err := stream.Recv()
		// Applying a large configuration takes more than a second. That time
		// must not count as silence of the instance.
		inTime := disarm()
		if err != nil || !inTime {
			w.logEnd(ctx, instance, received, err)
			return received, nil
		}
		received = true
		if err := handle(update); err != nil {
			return true, err
		}
		timer.Reset(Silence)
	}
}

// logEnd logs why a stream has ended, unless the caller has ended it. A failed attempt
// is repeated soon, so that only the end of a stream that worked is of interest to
// operators.
func (w *Watcher) logEnd(ctx context.Context, instance string, received bool, err error) {
	if ctx.Err() != nil {
		return
	}
	level := zap.DebugLevel
	if received {
		level = zap.InfoLevel
	}
	w.cfg.Logger.Log(level, "update stream ended", zap.String("holder", instance), zap.Error(err))
}
