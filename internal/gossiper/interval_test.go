package gossiper_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"storj.io/drpc"

	"github.com/papayapond/papayapond/internal/gossiper"
	"github.com/papayapond/papayapond/internal/wire"
)

// hub counts the reports that it gets.
type hub struct {
	mu    sync.Mutex
	count int
}

func (*hub) DRPCConn() drpc.Conn { return nil }

func (h *hub) Report(context.Context, *wire.ReportRequest) (*wire.ReportReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	return &wire.ReportReply{}, nil
}

// The hub of a zone with many thin instances must not get more reports than one of a
// small zone: while the core is silent, it is an instance with callers like the others.
func TestReportsOfLargeZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &hub{}
		var members []*wire.Member
		for i := range 60 {
			members = append(members, &wire.Member{Address: fmt.Sprint("e", i), Zone: "z"})
		}
		for _, m := range members {
			g := gossiper.New(gossiper.Config{
				Self: m.Address, Zone: m.Zone, CoresUnreachable: func() bool { return true }, Peer: func(string) wire.DRPCGossipClient { return h },
				Loads: func() []*wire.Load { return nil }, UpdateLoads: func([]*wire.Load) {},
			})
			g.Update(members)
			go g.Run(ctx)
		}
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		time.Sleep(2 * time.Second)
		if got, want := float64(h.count)/10, 65.0; got > want || got < want/2 {
			t.Errorf("got %.0f reports a second, want between %.0f and %.0f", got, want/2, want)
		}
	})
}
