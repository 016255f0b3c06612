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

// control is a fake of the replicated log with the rules for pools.
type control struct {
	mu      sync.Mutex
	pools   map[string]*wire.Pool
	epochs  map[string]uint64
	results map[string][]byte // by zone, epoch, kind and sequence
	owners  map[string]string // account of a grant, by the same
}

func newControl(budgets map[string]int64) *control {
	c := &control{pools: map[string]*wire.Pool{}, epochs: map[string]uint64{}, results: map[string][]byte{}, owners: map[string]string{}}
	for name, budget := range budgets {
		c.pools[name] = &wire.Pool{Account: name, Prepaid: budget, Unassigned: budget, Zones: map[string]int64{}}
	}
	return c
}

func (c *control) propose(command *wire.Command) *wire.ProposeReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	var result proto.Message
	switch {
	case command.GetGrant() != nil:
		g := command.GetGrant()
		if g.Epoch != c.epochs[g.Zone] {
			return &wire.ProposeReply{Fault: wire.NewFault(fault.Fenced)}
		}
		// Without it, a log would keep the results of all grants for good.
		if g.Confirmed != g.Sequence-1 {
			return &wire.ProposeReply{Fault: wire.NewFault(fault.Malformed)}
		}
		key := fmt.Sprintf("%s/%d/grant/%d", g.Zone, g.Epoch, g.Sequence)
		if old, ok := c.results[key]; ok {
			if c.owners[key] != g.Account {
				return &wire.ProposeReply{Fault: wire.NewFault(fault.Conflict)}
			}
			return &wire.ProposeReply{Result: old}
		}
		if c.pools[g.Account] == nil {
			return &wire.ProposeReply{Fault: wire.NewFault(fault.Missing)}
		}
		c.owners[key] = g.Account
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
		result = &wire.EpochResult{Epoch: c.epochs[e.Zone], Pools: c.clones()}
	}
	data, _ := proto.Marshal(result)
	return &wire.ProposeReply{Result: data}
}

// grant gives what is wanted up to half of the unassigned tokens, all that is
// needed if there is as much, and a sixth of the budget the first time.
func (c *control) grant(g *wire.Grant) *wire.GrantResult {
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

func (c *control) read() *wire.ReadReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := &wire.ReadReply{Version: 1, Pools: c.clones(), Epochs: map[string]uint64{}}
	for zone, epoch := range c.epochs {
		reply.Epochs[zone] = epoch
	}
	return reply
}

func (c *control) clones() []*wire.Pool {
	var pools []*wire.Pool
	for _, pool := range c.pools {
		pools = append(pools, proto.CloneOf(pool))
	}
	return pools
}

// network carries the calls between the holders and to the log. A call is
// lost before or after its effect, or made twice, as trouble tells.
type network struct {
	mu      sync.Mutex
	cut     map[string]bool // by "from-to" of zones, or "from-log"
	trouble func(link string) trouble
	delayed sync.WaitGroup
}

type trouble int

const (
	none trouble = iota
	loseReply
	duplicate
	late // made once more after a while
)

var errNetwork = eris.New("connection reset")

func (n *network) set(link string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link] = cut
}

// isolate cuts or restores the links of a zone to the others and the log.
func (n *network) isolate(zone string, cut bool) {
	for _, other := range append([]string{"log"}, zones...) {
		n.set(zone+"-"+other, cut)
		n.set(other+"-"+zone, cut)
	}
}

// disturb sets the trouble of later calls.
func (n *network) disturb(trouble func(link string) trouble) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.trouble = trouble
}

func (n *network) next(link string) (trouble, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[link] {
		return none, false
	}
	if n.trouble == nil {
		return none, true
	}
	return n.trouble(link), true
}

// call makes a call over a link of the network.
func call[Q, R any](n *network, link string, request Q, serve func(Q) (R, error)) (R, error) {
	var zero R
	trouble, ok := n.next(link)
	if !ok {
		return zero, errNetwork
	}
	reply, err := serve(request)
	switch trouble {
	case loseReply:
		return zero, errNetwork
	case duplicate:
		return serve(request)
	case late:
		n.delayed.Go(func() {
			time.Sleep(lateAfter)
			_, _ = serve(request)
		})
	}
	return reply, err
}

// lateAfter is long enough for the next call to overtake a late one.
const lateAfter = 30 * time.Millisecond

var zones = []string{"a", "b", "c"}

// tb is what testing.T and rapid.T have in common.
type tb interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
	Cleanup(func())
}

// cluster is three zones with one holder each, named as its zone.
type cluster struct {
	t       tb
	log     *control
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
		t: t, log: newControl(budgets), net: &network{cut: map[string]bool{}},
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
		c.ready(zone)
	}
	return c
}

func (c *cluster) holder(zone string) *Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holders[zone]
}

// start starts the holder of a zone over its data folder.
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

func (c *cluster) ready(zone string) *Holder {
	c.t.Helper()
	waitFor(c.t, "books of "+zone, func() bool { return c.holder(zone).Ledger() != nil })
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
		Copy:    forward(c, zone, func(h *Holder) serve[wire.CopyRequest, wire.CopyReply] { return h.Copy }),
		Fetch:   forward(c, zone, func(h *Holder) serve[wire.FetchRequest, wire.FetchReply] { return h.Fetch }),
		Release: forward(c, zone, func(h *Holder) serve[wire.ReleaseRequest, wire.ReleaseReply] { return h.Release }),
		Tally:   forward(c, zone, func(h *Holder) serve[wire.TallyRequest, wire.TallyReply] { return h.Tally }),
		Now:     time.Now,
		Logger:  zap.NewNop(),
	}
}

type serve[Q, R any] = func(context.Context, *Q) (*R, error)

// forward returns a function field that calls a method of another holder.
func forward[Q, R any](c *cluster, from string, method func(*Holder) serve[Q, R]) func(context.Context, string, *Q) (*R, error) {
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
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}
