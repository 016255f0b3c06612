package comparer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/controller"
	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// Times of one message.
	insideZone = 100 * time.Microsecond
	crossZone  = 500 * time.Microsecond
	// callLimit bounds a call without a deadline over a cut link.
	callLimit = time.Second
)

// network carries calls between zones, numbered from 0.
type network struct {
	cfg   Config
	meter *meter
	start atomic.Pointer[time.Time] // of the workload; nil before
}

// isCut tells whether no message passes between two zones now.
func (n *network) isCut(from, to int) bool {
	c, start := n.cfg.Cut, n.start.Load()
	return start != nil && from != to && (from == c.Zone || to == c.Zone) && c.contains(time.Since(*start))
}

// pass delays a message, or fails when the link is cut, as a connection over
// which nothing returns does.
func (n *network) pass(ctx context.Context, from, to int) error {
	if n.isCut(from, to) {
		select {
		case <-ctx.Done():
		case <-time.After(callLimit):
		}
		return eris.New("no answer")
	}
	if from == to {
		time.Sleep(insideZone)
	} else {
		time.Sleep(crossZone)
	}
	return nil
}

// call makes one call and adds the size of its messages if they move rights.
func call[Q, R proto.Message](ctx context.Context, n *network, from, to int, counted bool, request Q, serve func(context.Context, Q) (R, error)) (R, error) {
	var zero R
	if counted {
		n.meter.size(proto.Size(request))
	}
	if err := n.pass(ctx, from, to); err != nil {
		return zero, err
	}
	reply, err := serve(ctx, request)
	if err != nil {
		return zero, err
	}
	if counted {
		n.meter.size(proto.Size(reply))
	}
	return reply, n.pass(ctx, to, from)
}

// quorum is a log whose commands a majority of the zones commits. It is one
// controller without replicas; the members of a cut zone can't reach it.
type quorum struct {
	mu         sync.Mutex
	index      uint64
	controller *controller.Controller
}

func newQuorum(zones []string) *quorum {
	q := &quorum{}
	q.controller = controller.New(controller.Config{
		Replicate: func(_ context.Context, command []byte) (uint64, []byte, error) {
			time.Sleep(remoteTrip) // to a follower and back
			q.mu.Lock()
			defer q.mu.Unlock()
			q.index++
			return q.index, q.controller.Apply(q.index, command), nil
		},
		Barrier: func(context.Context) error { return nil },
		Leader:  func() string { return "leader" },
		Zones:   zones,
	})
	return q
}

// propose sends a command from a zone. The leader is in the last zone that is
// never cut.
func (q *quorum) propose(ctx context.Context, n *network, zone int, command *wire.Command) (*wire.ProposeReply, error) {
	leader := len(n.cfg.Zones) - 1
	if leader == n.cfg.Cut.Zone {
		leader--
	}
	reply, err := call(ctx, n, zone, leader, true, &wire.ProposeRequest{Command: command}, q.controller.Propose)
	if err != nil {
		return nil, eris.Wrapf(fault.Isolated, "%v", err)
	}
	return reply, nil
}
