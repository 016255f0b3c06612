package watcher

import (
	"context"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// Silence is the time without an update after which a stream is dead. A
// publisher sends one at least every second.
const Silence = 3 * time.Second

// Config configures a Watcher.
type Config struct {
	// Watch opens a stream to a holder.
	Watch func(ctx context.Context, holder string, request *wire.WatchRequest) (wire.DRPCFleet_WatchClient, error)
	// Silent is called when a stream has gone silent.
	Silent func(holder string)
}

// Watcher follows streams. It is safe for concurrent use.
type Watcher struct {
	cfg Config
}

// New returns a watcher.
func New(cfg Config) *Watcher { return &Watcher{cfg: cfg} }

// Follow passes the updates of one stream to handle until the stream ends,
// goes silent, or handle fails. It reports whether there was an update, and
// the error of handle.
func (w *Watcher) Follow(ctx context.Context, holder string, request *wire.WatchRequest, handle func(*wire.Update) error) (received bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(Silence, func() {
		w.cfg.Silent(holder)
		cancel()
	})
	defer timer.Stop()
	stream, err := w.cfg.Watch(ctx, holder, request)
	if err != nil {
		return false, nil
	}
	defer stream.Close()
	for {
		update, err := stream.Recv()
		if err != nil {
			return received, nil
		}
		// Putting a large configuration in force takes more than a second, in
		// which the holder isn't silent.
		timer.Stop()
		received = true
		if err := handle(update); err != nil {
			return true, err
		}
		timer.Reset(Silence)
	}
}
