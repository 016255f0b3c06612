package watcher

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayapond/papayapond/internal/wire"
)

// A stream must end when the instance stops sending, but not because handling
// an update is slow: every new stream would then start with the same update.
func TestSilence(t *testing.T) {
	for _, c := range []struct {
		name           string
		pause, handled time.Duration
		want           int // updates handled
	}{
		{"updates in time", time.Second, 0, 3},
		{"slow handling", time.Second, 2 * Silence, 3},
		{"silent instance", 2 * Silence, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent, got := false, 0
				w := New(Config{
					Watch: func(ctx context.Context, _ string, _ *wire.WatchRequest) (wire.DRPCFleet_WatchClient, error) {
						return &stream{ctx: ctx, pause: c.pause}, nil
					},
					Silent: func(string) { silent = true },
				})
				_, err := w.Follow(t.Context(), "h", nil, func(*wire.Update) error {
					time.Sleep(c.handled)
					got++
					return nil
				})
				if err != nil || got != c.want || silent != (c.want == 0) {
					t.Errorf("got %d updates, silent %v, error %v, want %d updates", got, silent, err, c.want)
				}
			})
		})
	}
}

// stream delivers three updates, with a pause before each.
type stream struct {
	wire.DRPCFleet_WatchClient
	ctx   context.Context
	pause time.Duration
	sent  int
}

func (s *stream) Recv() (*wire.Update, error) {
	if s.sent++; s.sent > 3 {
		return nil, io.EOF
	}
	select {
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	case <-time.After(s.pause):
		return &wire.Update{}, nil
	}
}

func (s *stream) Close() error { return nil }

// Silent reopens all connections. If an update arrives meanwhile, it must not be
// handled beside that, and the next stream must not be opened before.
func TestSilentRunsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running, handled := false, 0
		w := New(Config{
			Watch: func(context.Context, string, *wire.WatchRequest) (wire.DRPCFleet_WatchClient, error) {
				return &stream{ctx: context.Background(), pause: Silence + time.Second}, nil
			},
			Silent: func(string) {
				running = true
				time.Sleep(2 * time.Second)
				running = false
			},
		})
		received, err := w.Follow(t.Context(), "h", nil, func(*wire.Update) error {
			if running {
				t.Error("an update is handled while Silent runs")
			}
			handled++
			return nil
		})
		if running {
			t.Error("Follow has returned while Silent runs")
		}
		if received || handled > 0 || err != nil {
			t.Errorf("got received %v, %d updates, error %v, want a stream that timed out", received, handled, err)
		}
	})
}

// Nothing told why an instance went without updates.
func TestEndOfStreamIsLogged(t *testing.T) {
	for _, test := range []struct {
		name   string
		opened bool
		level  zapcore.Level
		want   string
	}{
		{"not opened", false, zap.DebugLevel, "refused"},
		{"ended", true, zap.InfoLevel, io.EOF.Error()},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, logs := observer.New(zap.DebugLevel)
				w := New(Config{
					Watch: func(ctx context.Context, _ string, _ *wire.WatchRequest) (wire.DRPCFleet_WatchClient, error) {
						if !test.opened {
							return nil, errors.New(test.want)
						}
						return &stream{ctx: ctx}, nil
					},
					Logger: zap.New(core),
				})
				if _, err := w.Follow(t.Context(), "h", nil, func(*wire.Update) error { return nil }); err != nil {
					t.Fatal(err)
				}
				lines := logs.FilterMessage("update stream ended").All()
				if len(lines) != 1 || lines[0].Level != test.level || lines[0].ContextMap()["error"] != test.want || lines[0].ContextMap()["holder"] != "h" {
					t.Errorf("got %v, want one line of level %s with error %s", lines, test.level, test.want)
				}
			})
		})
	}
}
