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

// A target of a zone that is out of reach can't tell that it leaves, so it
// must be gone after 3 s; while its holder restarts it must stay.
func TestZoneOutOfReach(t *testing.T) {
	type stream struct{ open, silent time.Duration } // with updates, then without
	for _, c := range []struct {
		name    string
		streams []stream // then the holder can't be reached
		after   time.Duration
		want    bool // the target of the zone is known
	}{
		{"watched", []stream{{time.Minute, 0}}, 30 * time.Second, true},
		{"holder restarts", []stream{{time.Second, 0}, {0, 0}, {0, 0}, {time.Minute, 0}}, 10 * time.Second, true},
		{"holder is gone", []stream{{time.Second, 0}}, time.Second + absence + 2*retryDelay, false},
		{"stream goes silent", []stream{{time.Second, absence}}, time.Second + absence + retryDelay, false},
		{"zone comes back", []stream{{time.Second, absence}, {time.Minute, 0}}, 10 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				defer group.Wait()
				defer cancel()
				r := registry.New(registry.Config{})
				pass := func(zone string) *wire.Target {
					return &wire.Target{Name: "t-" + zone, Zone: zone, State: registry.Ready, Incarnation: 1, Models: []string{"m"}}
				}
				r.Pass(pass("c"))
				n := New(Config{
					Name: "a1", Holder: "b1", Zone: "b", Registry: r, Blocker: blocker.New(blocker.Config{}), Logger: zap.NewNop(),
					Follow: func(ctx context.Context, _ string, q *wire.WatchRequest, handle func(*wire.Update) error) (bool, error) {
						if len(c.streams) == 0 {
							return false, nil
						}
						s := c.streams[0]
						c.streams = c.streams[1:]
						for begin := time.Now(); time.Since(begin) < s.open && ctx.Err() == nil; time.Sleep(time.Second) {
							u := &wire.Update{Snapshot: true, Targets: []*wire.Target{pass("b")}}
							if err := handle(u); err != nil || !q.Local {
								t.Errorf("got %v, local %t", err, q.Local)
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
					t.Errorf("target: got %t, that of another zone %t, want %t and true", got, other, c.want)
				}
			})
		})
	}
}
