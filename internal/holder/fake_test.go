package holder

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

// fakeLog implements the pools of the replicated log.
type fakeLog struct {
	mu       sync.Mutex
	pools    map[string]*wire.Pool
	epochs   map[string]uint64
	results  map[string][]byte // by zone, epoch, kind and sequence
	accounts map[string]string // account of a grant, by the same key
}

func newFakeLog(budgets map[string]int64) *fakeLog {
	c := &fakeLog{pools: map[string]*wire.Pool{}, epochs: map[string]uint64{}, results: map[string][]byte{}, accounts: map[string]string{}}
	for name, budget := range budgets {
		c.pools[name] = &wire.Pool{Account: name, Prepaid: budget, Unassigned: budget, Zones: map[string]int64{}}
	}
	return c
}

func (c *fakeLog) propose(command *wire.Command) *wire.ProposeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	var result proto.Message
	switch {
	case command.GetGrant() != nil:
		g := command.GetGrant()
		if g.Epoch != c.epochs[g.Zone] {
			return &wire.ProposeReply{Fault: wire.NewFault(fault.Fenced)}
		}
		// Otherwise a log would keep the results of all grants forever.
		if g.Confirmed != g.Sequence-1 {
			return &wire.ProposeReply{Fault: wire.NewFault(fault.Malformed)}
		}
		key := fmt.Sprintf("%s/%d/grant/%d", g.Zone, g.Epoch, g.Sequence)
		if old, ok := c.results[key]; ok {
			if c.accounts[key] != g.Account {
				return &wire.ProposeReply{Fault: wire.NewFault(fault.Conflict)}
			}
			return &wire.ProposeReply{Result: old}
		}
		if c.pools[g.Account] == nil {
			return &wire.ProposeReply{Fault: wire.NewFault(fault.Missing)}
		}
		c.accounts[key] = g.Account
		result = c.grant(g)
		c.results[key], _ = proto.Marshal(result)
	case command.GetReleased() != nil:
		r := command.GetReleased()
		key := fmt.Sprintf("%s/%d/release/%d", r.Zone, r.Epoch, r.Sequence)
		if _, ok := c.results[key]; !ok {
			if r.Epoch != c.epochs[r.Zone] {
				return &wire.ProposeReply{Fault: wire.NewFault(fault.Fenced)}
			}
			c.results[key] = nil
			c.pools[r.Account].Zones[r.Zone] -= r.Amount
			c.pools[r.Account].Unassigned += r.Amount
		}
		return &wire.ProposeReply{}
	case command.GetEpoch() != nil:
		e := command.GetEpoch()
		if e.Epoch != c.epochs[e.Zone] {
			return &wire.ProposeReply{Fault: wire.NewFault(fault.Conflict)}
		}
		c.epochs[e.Zone]++
		result = &wire.EpochResult{Epoch: c.epochs[e.Zone], Pools: c.clonePools()}
	}
	data, _ := proto.Marshal(result)
	return &wire.ProposeReply{Result: data}
}

// grant assigns the wanted tokens up to half of the unassigned ones, or all
// that are needed if there are enough. The first grant of a zone is at least a
// sixth of the budget.
func (c *fakeLog) grant(g *wire.Grant) *wire.GrantResult {
	pool := c.pools[g.Account]
	amount := min(max(g.Want, g.Need), pool.Unassigned/2)
	if g.Need > amount && g.Need <= pool.Unassigned {
		amount = g.Need
	}
	if _, ok := pool.Zones[g.Zone]; !ok {
		amount = max(amount, min(pool.Prepaid/6, pool.Unassigned))
	}
	pool.Unassigned -= amount
	pool.Zones[g.Zone] += amount
	return &wire.GrantResult{Amount: amount, Unassigned: pool.Unassigned, Sequence: g.Sequence}
}

func (c *fakeLog) read() *wire.ReadReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &wire.ReadReply{Version: 1, Pools: c.clonePools(), Epochs: map[string]uint64{}}
	for zone, epoch := range c.epochs {
		reply.Epochs[zone] = epoch
	}
	return reply
}

func (c *fakeLog) clonePools() []*wire.Pool {
	var pools []*wire.Pool
	for _, pool := range c.pools {
		pools = append(pools, proto.CloneOf(pool))
	}
	return pools
}

// network connects the holders to each other and to the log. It loses a call
// before or after its effect, or repeats it, as faultFor decides.
type network struct {
	mu       sync.Mutex
	cut      map[string]bool // by "from-to" of zones, or "from-log"
	faultFor func(link string) networkFault
	delayed  sync.WaitGroup
}

type networkFault int

const (
	noFault networkFault = iota
	loseReply
	duplicate
	delayedDuplicate // repeated after duplicateDelay
)

var errNetwork = eris.New("connection reset")

func (n *network) setCut(link string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link] = cut
}

// isolate cuts or restores the links between a zone and the others and the log.
func (n *network) isolate(zone string, cut bool) {
	for _, other := range append([]string{"log"}, zones...) {
		n.setCut(zone+"-"+other, cut)
		n.setCut(other+"-"+zone, cut)
	}
}

// injectFaults sets the faults of later calls; nil for none.
func (n *network) injectFaults(faultFor func(link string) networkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultFor = faultFor
}

func (n *network) nextFault(link string) (networkFault, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[link] {
		return noFault, false
	}
	if n.faultFor == nil {
		return noFault, true
	}
	return n.faultFor(link), true
}

// call makes a call over a link of the network.
func call[Q, R any](n *network, link string, request Q, serve func(Q) (R, error)) (R, error) {
	var zero R
	injected, ok := n.nextFault(link)
	if !ok {
		return zero, errNetwork
	}
	reply, err := serve(request)
	switch injected {
	case loseReply:
		return zero, errNetwork
	case duplicate:
		return serve(request)
	case delayedDuplicate:
		n.delayed.Go(func() {
			time.Sleep(duplicateDelay)
			_, _ = serve(request)
		})
	}
	return reply, err
}

// duplicateDelay is long enough for the next call to overtake a delayed
// duplicate.
const duplicateDelay = 30 * time.Millisecond

var zones = []string{"a", "b", "c"}

// tb is the part of testing.TB that rapid.T implements too.
type tb interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
	Cleanup(func())
}

// cluster is three zones with one holder each, named after its zone.
type cluster struct {
	t       tb
	log     *fakeLog
	net     *network
	mu      sync.Mutex
	holders map[string]*Holder
	stops   map[string]func()
	paths   map[string]string
	reserve atomic.Uint64 // percent
	options []func(*Config)
}

func newCluster(t tb, budgets map[string]int64, options ...func(*Config)) *cluster {
	c := &cluster{
		t: t, log: newFakeLog(budgets), net: &network{cut: map[string]bool{}},
		holders: map[string]*Holder{}, stops: map[string]func(){}, paths: map[string]string{}, options: options,
	}
	c.reserve.Store(25)
	path, err := os.MkdirTemp("", "holder")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, zone := range zones {
			c.stop(zone)
		}
		c.net.delayed.Wait()
		_ = os.RemoveAll(path)
	})
	for _, zone := range zones {
		c.paths[zone] = filepath.Join(path, zone)
		c.start(zone)
	}
	for _, zone := range zones {
		c.waitForLedger(zone)
	}
	return c
}

func (c *cluster) holder(zone string) *Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders[zone]
}

// start starts the holder of a zone on its data directory.
func (c *cluster) start(zone string) {
	c.t.Helper()
	cfg := c.config(zone)
	for _, option := range c.options {
		option(&cfg)
	}
	h, err := New(cfg)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Run(ctx)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holders[zone] = h
	c.stops[zone] = func() {
		cancel()
		<-done
	}
}

func (c *cluster) stop(zone string) {
	c.mu.Lock()
	stop := c.stops[zone]
	delete(c.stops, zone)
	delete(c.holders, zone)
	c.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (c *cluster) waitForLedger(zone string) *Holder {
	c.t.Helper()
	waitFor(c.t, "ledger of "+zone, func() bool { return c.holder(zone).Ledger() != nil })
	return c.holder(zone)
}

func (c *cluster) config(zone string) Config {
	var others []string
	for _, other := range zones {
		if other != zone {
			others = append(others, other)
		}
	}
	link := func(to string) string { return zone + "-" + to }
	return Config{
		Name: zone, Zone: zone, Path: c.paths[zone], Peers: others,
		Instances:      func() []string { return []string{"entry-" + zone} },
		LocalInstances: []string{"entry-" + zone},
		RetainBills: func(context.Context, string, *wire.CopyRequest) (*wire.CopyReply, error) {
			return nil, errNetwork
		},
		ReserveShare: func() float64 { return float64(c.reserve.Load()) / 100 },
		Propose: func(_ context.Context, command *wire.Command) (*wire.ProposeReply, error) {
			return call(c.net, link("log"), command, func(command *wire.Command) (*wire.ProposeReply, error) {
				return c.log.propose(command), nil
			})
		},
		Read: func(_ context.Context, _ *wire.ReadRequest) (*wire.ReadReply, error) {
			return call(c.net, link("log"), struct{}{}, func(struct{}) (*wire.ReadReply, error) { return c.log.read(), nil })
		},
		Copy:    forward(c, zone, func(h *Holder) rpcMethod[wire.CopyRequest, wire.CopyReply] { return h.Copy }),
		Fetch:   forward(c, zone, func(h *Holder) rpcMethod[wire.FetchRequest, wire.FetchReply] { return h.Fetch }),
		Release: forward(c, zone, func(h *Holder) rpcMethod[wire.ReleaseRequest, wire.ReleaseReply] { return h.Release }),
		Tally:   forward(c, zone, func(h *Holder) rpcMethod[wire.TallyRequest, wire.TallyReply] { return h.Tally }),
		Now:     time.Now,
		Logger:  zap.NewNop(),
	}
}

type rpcMethod[Q, R any] = func(context.Context, *Q) (*R, error)

// forward returns a Config function that calls a method of another holder.
func forward[Q, R any](c *cluster, from string, method func(*Holder) rpcMethod[Q, R]) func(context.Context, string, *Q) (*R, error) {
	return func(ctx context.Context, to string, request *Q) (*R, error) {
		return call(c.net, from+"-"+to, request, func(request *Q) (*R, error) {
			h := c.holder(to)
			if h == nil {
				return nil, errNetwork
			}
			return method(h)(ctx, request)
		})
	}
}

func waitFor(t tb, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within 10 s", what)
		}
	}
}
