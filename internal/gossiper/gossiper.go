package gossiper

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/papayapond/papayapond/internal/detector"
	"github.com/papayapond/papayapond/internal/ranker"
	"github.com/papayapond/papayapond/internal/recoverer"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// interval is the pause between two reports in a zone of up to manyInstances; it
	// grows with their number, so that the hub gets a bounded number of reports.
	interval = 400 * time.Millisecond
	// manyInstances reports in an interval take about a tenth of the link and the
	// processor of a thin hub.
	manyInstances = 25
	// callTimeout limits one call.
	callTimeout = 250 * time.Millisecond
	// maxReportAge is the age above which a report is ignored, in intervals: three
	// have been missed.
	maxReportAge = 3.75
	// hubKey is the hash key that selects the hubs.
	hubKey = "hub"
	// maxHubs is the number of hubs that are tried per zone.
	maxHubs = 2
)

// Config configures a Gossiper.
type Config struct {
	// Self is the address of this instance, Zone its zone.
	Self, Zone string
	// Peer returns a client for the entry instance at an address.
	Peer func(address string) wire.DRPCGossipClient
	// CoresUnreachable reports whether the core instances are unreachable.
	CoresUnreachable func() bool
	// Loads returns this instance's load by target.
	Loads func() []*wire.Load
	// UpdateLoads receives the load of all other instances.
	UpdateLoads func([]*wire.Load)
	// Detector, if not nil, exchanges evidence of contents that crash targets.
	Detector *detector.Detector
	// Recoverer, if not nil, runs the rounds and their calls.
	Recoverer *recoverer.Recoverer
	Now       func() time.Time
	Logger    *zap.Logger
}

// Gossiper reports this instance's load and aggregates the reports of others.
// It is safe for concurrent use.
type Gossiper struct {
	cfg Config

	mu              sync.Mutex
	zones           map[string][]string // addresses by zone, hubs first
	instanceReports map[string]report   // of instances in this zone, by address
	zoneReports     map[string]report   // of other zones, by zone
	// sessions holds the exchanges of evidence with hubs that are not in use, by
	// address.
	sessions map[string]*detector.Session
}

// report is a load and the time it was received.
type report struct {
	at    time.Time
	loads []*wire.Load
}

// New returns a gossiper without a member list.
func New(cfg Config) *Gossiper {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Recoverer == nil {
		cfg.Recoverer = recoverer.New(recoverer.Config{Logger: cfg.Logger})
	}
	return &Gossiper{cfg: cfg, zones: map[string][]string{}, instanceReports: map[string]report{}, zoneReports: map[string]report{}, sessions: map[string]*detector.Session{}}
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
	maps.DeleteFunc(g.sessions, func(address string, _ *detector.Session) bool {
		return !slices.ContainsFunc(members, func(m *wire.Member) bool { return m.Address == address })
	})
}

// Run makes a round per interval while the core instances are unreachable,
// until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(g.interval()):
		}
		if g.cfg.CoresUnreachable() {
			g.cfg.Recoverer.Run("gossip", func() { g.Round(ctx) })
		}
	}
}

// interval returns the pause between two reports.
func (g *Gossiper) interval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return intervalOf(len(g.zones[g.cfg.Zone]))
}

// intervalOf returns the pause between two reports in a zone with n instances.
func intervalOf(n int) time.Duration {
	return max(interval, interval*time.Duration(n)/manyInstances)
}

// Round reports once to the hub or, if this instance is the hub, to the hubs of
// other zones.
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
	g.recordInstance(g.cfg.Self, own)
	sum := g.aggregate("", false)
	var group sync.WaitGroup
	for _, zone := range g.otherZones() {
		group.Go(g.cfg.Recoverer.Wrap("gossip with zone", func() {
			q := &wire.ReportRequest{Address: g.cfg.Self, Zone: g.cfg.Zone, Whole: true, Loads: sum}
			if reply := g.call(ctx, g.hubs(zone), q); reply != nil {
				g.recordZone(zone, reply.Loads)
			}
		}, zap.String("zone", zone)))
	}
	group.Wait()
	g.cfg.UpdateLoads(g.aggregate(g.cfg.Self, true))
}

// hubs returns the instances of a zone that can be its hub, in order of
// preference.
func (g *Gossiper) hubs(zone string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := g.zones[zone]
	return list[:min(len(list), maxHubs)]
}

// Neighbors returns the other instances of the zone, the hubs first.
func (g *Gossiper) Neighbors() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(g.zones[g.cfg.Zone]), func(address string) bool { return address == g.cfg.Self })
}

// Remote returns the instances of the other zones, one of each zone in turn.
func (g *Gossiper) Remote() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	zones := slices.Sorted(maps.Keys(g.zones))
	var list []string
	for i, more := 0, true; more; i++ {
		more = false
		for _, zone := range zones {
			if zone != g.cfg.Zone && i < len(g.zones[zone]) {
				list, more = append(list, g.zones[zone][i]), true
			}
		}
	}
	return list
}

// otherZones returns all zones but this one.
func (g *Gossiper) otherZones() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(g.zones)), func(zone string) bool { return zone == g.cfg.Zone })
}

// call reports to the first hub that answers. It returns nil if none does;
// earlier reports then stay.
func (g *Gossiper) call(ctx context.Context, hubs []string, q *wire.ReportRequest) *wire.ReportReply {
	for _, address := range hubs {
		if address == g.cfg.Self {
			continue
		}
		reply, err := g.report(ctx, address, q)
		if err == nil {
			return reply
		}
		g.cfg.Logger.Debug("hub did not answer", zap.String("address", address), zap.Error(err))
	}
	return nil
}

// report makes one call to a hub.
func (g *Gossiper) report(ctx context.Context, address string, q *wire.ReportRequest) (*wire.ReportReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if g.cfg.Detector == nil {
		return g.cfg.Peer(address).Report(ctx, q)
	}
	s := g.takeSession(address)
	defer g.putSession(address, s)
	q.Evidence = s.Request()
	reply, err := g.cfg.Peer(address).Report(ctx, q)
	if err == nil {
		s.Apply(q.Evidence, reply.Evidence)
	}
	return reply, err
}

// takeSession returns the exchange of evidence with a hub, or a new one.
func (g *Gossiper) takeSession(address string) *detector.Session {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.sessions[address]
	delete(g.sessions, address)
	if s == nil {
		return g.cfg.Detector.NewSession()
	}
	return s
}

// putSession keeps the exchange of evidence with a hub for the next call.
func (g *Gossiper) putSession(address string, s *detector.Session) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sessions[address] = s
}

// answer returns the evidence that a caller doesn't hold.
func (g *Gossiper) answer(e *wire.Evidence) *wire.Evidence {
	if g.cfg.Detector == nil {
		return nil
	}
	return g.cfg.Detector.Answer(e)
}

func (g *Gossiper) recordInstance(address string, loads []*wire.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instanceReports[address] = report{g.cfg.Now(), loads}
}

func (g *Gossiper) recordZone(zone string, loads []*wire.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zoneReports[zone] = report{g.cfg.Now(), loads}
}

// aggregate adds up the reports of this zone, except for one instance, and
// those of other zones if allZones is set.
func (g *Gossiper) aggregate(except string, allZones bool) []*wire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	largest := 0
	for _, list := range g.zones {
		largest = max(largest, len(list))
	}
	maxAge := time.Duration(maxReportAge * float64(intervalOf(largest)))
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
	add(g.instanceReports, except)
	if allZones {
		add(g.zoneReports, "")
	}
	return slices.Collect(maps.Values(sums))
}

// Report implements wire.DRPCGossipServer.
func (g *Gossiper) Report(_ context.Context, q *wire.ReportRequest) (*wire.ReportReply, error) {
	if q.Whole {
		g.recordZone(q.Zone, q.Loads)
		return &wire.ReportReply{Loads: g.aggregate("", false), Evidence: g.answer(q.Evidence)}, nil
	}
	g.recordInstance(q.Address, q.Loads)
	return &wire.ReportReply{Loads: g.aggregate(q.Address, true), Evidence: g.answer(q.Evidence)}, nil
}
