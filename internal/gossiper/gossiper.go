package gossiper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/ranker"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// interval is the pause between two reports.
	interval = 400 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 250 * time.Millisecond
	// maxAge is the age from which on a report isn't counted any more: three
	// have been missed.
	maxAge = 1500 * time.Millisecond
	// hubKey is the key by which hubs are chosen.
	hubKey = "hub"
	// candidates is the number of hubs that are tried in one zone.
	candidates = 2
)

// Config configures a Gossiper.
type Config struct {
	// Self is the address of this instance, Zone its zone.
	Self, Zone string
	// Peer returns a client for the entry instance at an address.
	Peer func(address string) wire.DRPCGossipClient
	// CoresUnreachable reports whether the core instances are silent.
	CoresUnreachable func() bool
	// Loads returns the own work by target.
	Loads func() []*wire.Load
	// UpdateLoads takes the work of all others.
	UpdateLoads func([]*wire.Load)
	Now         func() time.Time
	Logger      *zap.Logger
}

// Gossiper reports the work in flight and sums up what others report. It is safe
// for concurrent use.
type Gossiper struct {
	cfg Config

	mu    sync.Mutex
	zones map[string][]string // addresses by zone, hubs first
	local map[string]report   // of instances of the zone, by address
	other map[string]report   // of other zones, by zone
}

// report is work in flight and when it was told.
type report struct {
	at    time.Time
	loads []*wire.Load
}

// New returns a gossiper that knows no other instance.
func New(cfg Config) *Gossiper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	return &Gossiper{cfg: cfg, zones: map[string][]string{}, local: map[string]report{}, other: map[string]report{}}
}

// Update replaces the list of entry instances.
func (g *Gossiper) Update(members []*wire.Member) {
	zones := map[string][]string{}
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m.Address)
	}
	for zone, list := range zones {
		zones[zone] = ranker.New(hubKey).Order(list)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zones = zones
}

// Run reports while the core instances are silent, until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if g.cfg.CoresUnreachable() {
			g.Round(ctx)
		}
	}
}

// Round reports once.
func (g *Gossiper) Round(ctx context.Context) {
	hubs := g.hubs(g.cfg.Zone)
	if len(hubs) == 0 {
		return
	}
	own := g.cfg.Loads()
	if hubs[0] != g.cfg.Self {
		q := &wire.ReportRequest{Address: g.cfg.Self, Zone: g.cfg.Zone, Loads: own}
		if reply := g.call(ctx, hubs, q); reply != nil {
			g.cfg.UpdateLoads(reply.Loads)
		}
		return
	}
	g.note(g.cfg.Self, own)
	sum := g.sum("", false)
	var group sync.WaitGroup
	for _, zone := range g.others() {
		group.Go(func() {
			q := &wire.ReportRequest{Address: g.cfg.Self, Zone: g.cfg.Zone, Whole: true, Loads: sum}
			if reply := g.call(ctx, g.hubs(zone), q); reply != nil {
				g.noteZone(zone, reply.Loads)
			}
		})
	}
	group.Wait()
	g.cfg.UpdateLoads(g.sum(g.cfg.Self, true))
}

// hubs returns the first instances of a zone.
func (g *Gossiper) hubs(zone string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.zones[zone]
	return list[:min(len(list), candidates)]
}

// others returns the other zones.
func (g *Gossiper) others() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(g.zones)), func(zone string) bool { return zone == g.cfg.Zone })
}

// call reports to the first hub that answers. It returns nil if none does; then
// what is known stays.
func (g *Gossiper) call(ctx context.Context, hubs []string, q *wire.ReportRequest) *wire.ReportReply {
	for _, address := range hubs {
		if address == g.cfg.Self {
			continue
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := g.cfg.Peer(address).Report(call, q)
		cancel()
		if err == nil {
			return reply
		}
		g.cfg.Logger.Debug("Hub doesn't answer.", zap.String("address", address), zap.Error(err))
	}
	return nil
}

func (g *Gossiper) note(address string, loads []*wire.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local[address] = report{g.cfg.Now(), loads}
}

func (g *Gossiper) noteZone(zone string, loads []*wire.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.other[zone] = report{g.cfg.Now(), loads}
}

// sum adds up the reports of the zone, but for one instance, and those of other
// zones if all is set.
func (g *Gossiper) sum(except string, all bool) []*wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	sums := map[string]*wire.Load{}
	add := func(reports map[string]report, except string) {
		for name, r := range reports {
			if now.Sub(r.at) > maxAge {
				delete(reports, name)
				continue
			}
			if name == except {
				continue
			}
			for _, l := range r.loads {
				s := sums[l.Target]
				if s == nil {
					s = &wire.Load{Target: l.Target}
					sums[l.Target] = s
				}
				s.Running += l.Running
				s.Unread += l.Unread
				s.Memory += l.Memory
			}
		}
	}
	add(g.local, except)
	if all {
		add(g.other, "")
	}
	return slices.Collect(maps.Values(sums))
}

// Report serves wire.DRPCGossipServer.
func (g *Gossiper) Report(_ context.Context, q *wire.ReportRequest) (*wire.ReportReply, error) {
	if q.Whole {
		g.noteZone(q.Zone, q.Loads)
		return &wire.ReportReply{Loads: g.sum("", false)}, nil
	}
	g.note(q.Address, q.Loads)
	return &wire.ReportReply{Loads: g.sum(q.Address, true)}, nil
}
