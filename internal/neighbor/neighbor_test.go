package neighbor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/blocker"
	"github.com/papayapond/papayapond/internal/registry"
	"github.com/papayapond/papayapond/internal/wire"
)

// A target of an unreachable zone cannot report that it is leaving, so it
// must be removed after 3 s. It must stay while the holder of the zone
// restarts.
func TestZoneUnreachable(t *testing.T) {
	type stream struct{ open, silent time.Duration } // open with updates, then silent
	for _, c := range []struct {
		name    string
		streams []stream // then the holder is unreachable
		after   time.Duration
		want    bool // whether the target of the zone is known
	}{
		{"watched", []stream{{time.Minute, 0}}, 30 * time.Second, true},
		{"holder restarts", []stream{{time.Second, 0}, {0, 0}, {0, 0}, {time.Minute, 0}}, 10 * time.Second, true},
		{"holder is gone", []stream{{time.Second, 0}}, time.Second + unreachableAfter + 2*retryDelay, false},
		{"stream goes silent", []stream{{time.Second, unreachableAfter}}, time.Second + unreachableAfter + retryDelay, false},
		{"zone comes back", []stream{{time.Second, unreachableAfter}, {time.Minute, 0}}, 10 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				defer group.Wait()
				defer cancel()
				r := registry.New(registry.Config{})
				newTarget := func(zone string) *wire.Target {
					return &wire.Target{Name: "t-" + zone, Zone: zone, State: registry.Ready, Incarnation: 1, Models: []string{"m"}}
				}
				r.ApplyRelayed(newTarget("c"))
				n := New(Config{
					Name: "a1", Holder: "b1", Zone: "b", Registry: r, Blocker: blocker.New(blocker.Config{}), Logger: zap.NewNop(),
					Follow: func(ctx context.Context, _ string, q *wire.WatchRequest, handle func(*wire.Update) error) (bool, error) {
						if len(c.streams) == 0 {
							return false, nil
						}
						s := c.streams[0]
						c.streams = c.streams[1:]
						for begin := time.Now(); time.Since(begin) < s.open && ctx.Err() == nil; time.Sleep(time.Second) {
							u := &wire.Update{Snapshot: true, Targets: []*wire.Target{newTarget("b")}}
							if err := handle(u); err != nil || !q.Local {
								t.Errorf("update: got %v, local %t, want no error and true", err, q.Local)
							}
						}
						time.Sleep(s.silent)
						return s.open > 0, nil
					},
				})
				group.Go(func() { n.Run(ctx) })
				time.Sleep(c.after)
				synctest.Wait()
				if got, other := len(r.Ready("b", "m", "")) > 0, len(r.Ready("c", "m", "")) > 0; got != c.want || !other {
					t.Errorf("target ready: got %t, that of another zone %t, want %t and true", got, other, c.want)
				}
			})
		})
	}
}
