package comparer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/holder"
	"github.com/papayapond/papayapond/internal/reserver"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// fenceTime is the silence after which the holders fence an instance.
	fenceTime = 3 * time.Second
	// restartTime is the time from a death to the next start.
	restartTime = 5 * time.Second
)

// entry is one entry instance, which may die and start again.
type entry struct {
	escrow *escrow
	zone   int
	name   string

	mu          sync.Mutex
	incarnation uint64
	alive       *atomic.Bool
	reserver    *reserver.Reserver
	stop        context.CancelFunc
}

func newEntry(ctx context.Context, e *escrow, zone, i int) *entry {
	n := &entry{escrow: e, zone: zone, name: instanceName(zone, i)}
	n.start(ctx)
	return n
}

func (n *entry) start(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	holding := &wire.Holding{Instance: n.name, Incarnation: n.incarnation}
	alive := &atomic.Bool{}
	alive.Store(true)
	names := []string{zoneName(n.zone)}
	for z := range n.escrow.cfg.Zones {
		if z != n.zone {
			names = append(names, zoneName(z))
		}
	}
	r := reserver.New(reserver.Config{
		Holding: func() *wire.Holding { return holding },
		Holders: func() []string { return names },
		Draw:    toHolder(n, alive, true, (*holder.Holder).Draw),
		Return:  toHolder(n, alive, true, (*holder.Holder).Return),
		Settle:  toHolder(n, alive, false, (*holder.Holder).Settle),
		Now:     time.Now,
		Logger:  zap.NewNop(),
	})
	ctx, n.stop = context.WithCancel(ctx)
	n.alive, n.reserver = alive, r
	n.escrow.tasks.Go(func() { r.Run(ctx) })
}

func (n *entry) current() *reserver.Reserver {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reserver
}

func (n *entry) isAlive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.alive.Load()
}

// crash ends the instance without a word to anybody. The holders fence its
// incarnation later, and then it starts again.
func (n *entry) crash(ctx context.Context) {
	n.mu.Lock()
	old := n.incarnation
	n.alive.Store(false)
	n.stop()
	n.mu.Unlock()
	n.escrow.tasks.Go(func() {
		time.Sleep(fenceTime)
		for _, h := range n.escrow.holders {
			if l := h.Ledger(); l != nil {
				_ = l.Fence(n.name, old) // a ledger that fails is found by the check at the end
			}
		}
		time.Sleep(restartTime - fenceTime)
		if ctx.Err() == nil {
			n.start(ctx)
		}
	})
}

type method[Q, R any] = func(*holder.Holder, context.Context, *Q) (*R, error)

// message is a pointer to a message of type T.
type message[T any] interface {
	*T
	proto.Message
}

// toHolder returns a call from an instance to a holder, which fails when the
// instance is dead.
func toHolder[Q, R any, PQ message[Q], PR message[R]](n *entry, alive *atomic.Bool, counted bool, serve method[Q, R]) func(context.Context, string, *Q) (*R, error) {
	return func(ctx context.Context, to string, request *Q) (*R, error) {
		if !alive.Load() {
			return nil, eris.New("this instance is dead")
		}
		return forward[Q, R, PQ, PR](ctx, n.escrow, n.zone, to, counted, request, serve)
	}
}

// between returns a call from one holder to another.
func between[Q, R any, PQ message[Q], PR message[R]](e *escrow, from int, counted bool, serve method[Q, R]) func(context.Context, string, *Q) (*R, error) {
	return func(ctx context.Context, to string, request *Q) (*R, error) {
		return forward[Q, R, PQ, PR](ctx, e, from, to, counted, request, serve)
	}
}

func forward[Q, R any, PQ message[Q], PR message[R]](ctx context.Context, e *escrow, from int, to string, counted bool, request *Q, serve method[Q, R]) (*R, error) {
	zone := int(to[0] - 'a')
	return call(ctx, e.network, from, zone, counted, PQ(request), func(ctx context.Context, request PQ) (PR, error) {
		return serve(e.holders[zone], ctx, request)
	})
}
