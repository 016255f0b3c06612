package coordinator_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/papayapond/papayapond/internal/coordinator"
	"github.com/papayapond/papayapond/internal/wire"
)

// The log must say that a target has expired once that is committed, and not before: a
// target whose removal failed goes on getting requests.
func TestExpiryLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		var c *coordinator.Coordinator
		var failing atomic.Bool
		index := uint64(0)
		c = coordinator.New(coordinator.Config{
			Name: "a", Leader: func() string { return "a" }, Term: func() uint64 { return 1 },
			Instances: func() []string { return []string{"a"} }, Barrier: func(context.Context) error { return nil },
			Propose: func(_ context.Context, command []byte) (uint64, []byte, error) {
				if failing.Load() {
					return 0, nil, errors.New("leadership lost")
				}
				index++
				return index, c.Apply(index, command), nil
			},
			TargetTimeout: 5 * time.Second, Now: time.Now, Logger: zap.New(core),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		if err := c.Announce(t.Context(), &wire.Listing{Id: "t", Born: 1, Address: "x", Pool: "p"}); err != nil {
			t.Fatal(err)
		}
		for _, step := range []struct {
			failing bool
			want    int
		}{{true, 0}, {false, 1}} {
			failing.Store(step.failing)
			time.Sleep(8 * time.Second)
			if got := logs.FilterMessage("target expired").Len(); got != step.want {
				t.Errorf("commits fail %v: got %d lines, want %d", step.failing, got, step.want)
			}
		}
		cancel()
		synctest.Wait()
	})
}
