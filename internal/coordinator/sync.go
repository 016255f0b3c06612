package coordinator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// maxPeers limits the entry instances listed in a reply.
	maxPeers = 4
	// summaryAge is the maximum age of the summary that replies use.
	summaryAge = 100 * time.Millisecond
	// silenceThreshold is the silence of a target in ms up to which replies
	// don't report it: three announcements.
	silenceThreshold = 3600
)

// entry is an incarnation of an entry instance in contact.
type entry struct {
	lastSync   time.Time
	address    string
	zone       string
	loads      []*wire.Load
	allowances []*wire.Allowance
}

// Sync implements wire.DRPCSteeringServer. Only the leader serves it.
func (c *Coordinator) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	reply := &wire.SyncReply{Cores: c.cfg.Instances(), Leader: c.cfg.Leader()}
	if err := c.ensureLeader(ctx); err != nil {
		reply.Fault = wire.NewFault(err)
		return reply, nil
	}
	if c.isDuplicate(q) {
		// The same call has arrived on two paths.
		reply.Fault = wire.NewFault(eris.Wrapf(fault.Conflict, "sequence %d of %s was already received", q.Sequence, q.Instance))
		return reply, nil
	}
	limits, err := c.allot(ctx, q)
	if err != nil {
		reply.Fault = wire.NewFault(err)
		return reply, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(q)
	reply.Limits = limits
	c.fillLimits(reply.Limits, q)
	if c.rules != nil {
		reply.Version = c.rules.Version()
		if reply.Version > q.Version {
			reply.Ruleset = c.encoded
		}
	}
	reply.Roster = c.targets.Revision()
	if reply.Roster != q.Roster {
		reply.Targets, reply.Listed = c.targets.List(), true
	}
	if reply.Listed || len(reply.Ruleset) > 0 {
		c.observeTargets()
		reply.History = c.tracer.History()
	}
	reply.Loads = c.loads(q)
	reply.Entries = int32(len(c.entries))
	reply.Evidence = c.evidence.Answer(q.Evidence)
	reply.TargetLimits = c.divider.Shares(q.Instance)
	reply.Peers = c.peers(q.Instance)
	reply.Fleet, reply.Members = c.fleet.listFor(q.Fleet, c.cfg.Now())
	return reply, nil
}

// isDuplicate reports whether a call was already received, and records it.
func (c *Coordinator) isDuplicate(q *wire.SyncRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sequences[q.Instance] >= q.Sequence {
		return true
	}
	c.sequences[q.Instance] = q.Sequence
	return false
}

// allot commits the allowances that the incarnation declares and requests, the
// time of its last answer, and the streams that targets have begun for it.
func (c *Coordinator) allot(ctx context.Context, q *wire.SyncRequest) ([]*wire.Limit, error) {
	data, err := c.commit(ctx, &wire.Directive{Origins: q.Origins, Change: &wire.Directive_Allot{Allot: &wire.Allotment{
		Instance: q.Instance, Sequence: q.Sequence, Allowances: q.Allowances, Closing: q.Closing, Tenure: q.Tenure,
	}}})
	if err != nil {
		return nil, err
	}
	result := &wire.AllotmentResult{}
	if err := proto.Unmarshal(data, result); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "limits: %v", err)
	}
	if result.Stale {
		return nil, eris.Wrapf(fault.Conflict, "sequence %d of %s is stale", q.Sequence, q.Instance)
	}
	return result.Limits, nil
}

// record stores what the incarnation reports. The caller holds mu.
func (c *Coordinator) record(q *wire.SyncRequest) {
	now := c.cfg.Now()
	for name, e := range c.entries {
		if now.Sub(e.lastSync) > entryTimeout {
			delete(c.entries, name)
			delete(c.sequences, name)
		}
	}
	if q.Closing {
		delete(c.entries, q.Instance)
		c.divider.Remove(q.Instance)
		c.fleet.remove(q.Address)
	} else {
		c.entries[q.Instance] = &entry{lastSync: now, address: q.Address, zone: q.Zone, loads: q.Loads, allowances: q.Allowances}
		c.divider.Report(q.Instance, q.TargetLimits)
		c.fleet.add(q.Address, q.Zone, now)
	}
}

// summary aggregates the reports of all incarnations. Aggregating for each call
// would take quadratic time in the number of incarnations.
type summary struct {
	at          time.Time
	loads       []*wire.Load
	idle        map[string]int64 // unused tokens in allowances, by account
	stranded    map[string]bool  // accounts with tokens held by incarnations out of contact
	zoneDemand  map[zoneAccount]int64
	fleetDemand map[string]int64 // demand of the fleet, by account
}

// zoneAccount identifies an account in a zone.
type zoneAccount struct{ zone, account string }

// summarize returns a summary that is at most summaryAge old. The caller holds
// mu.
func (c *Coordinator) summarize() *summary {
	now := c.cfg.Now()
	if c.summary != nil && now.Sub(c.summary.at) < summaryAge {
		return c.summary
	}
	s := &summary{at: now, idle: map[string]int64{}, stranded: map[string]bool{}, zoneDemand: map[zoneAccount]int64{}, fleetDemand: map[string]int64{}}
	sums := map[string]*wire.Load{}
	for _, l := range c.targets.List() {
		sum := &wire.Load{Target: l.Id}
		if at, ok := c.lastAnnounced[l.Id]; ok {
			sum.Silence = now.Sub(at).Milliseconds()
		}
		sums[l.Id] = sum
		s.loads = append(s.loads, sum)
	}
	for _, e := range c.entries {
		for _, l := range e.loads {
			if sum := sums[l.Target]; sum != nil {
				sum.Running += l.Running
				sum.Unread += l.Unread
				sum.Memory += l.Memory
			}
		}
		for _, w := range e.allowances {
			s.idle[w.Account] += max(w.Limit-w.Used, 0)
			s.zoneDemand[zoneAccount{e.zone, w.Account}] += w.Rate
			s.fleetDemand[w.Account] += w.Rate
		}
	}
	c.budgets.VisitStranded(func(name string) bool { return c.entries[name] != nil }, func(account string) { s.stranded[account] = true })
	c.summary = s
	return s
}

// fillLimits adds the budget, the free and idle tokens and the demand to the
// limits. The caller holds mu.
func (c *Coordinator) fillLimits(limits []*wire.Limit, q *wire.SyncRequest) {
	s := c.summarize()
	own := map[string]int64{}
	for _, w := range q.Allowances {
		own[w.Account] = max(w.Limit-w.Used, 0)
	}
	for _, l := range limits {
		l.Free = c.budgets.Free(l.Account)
		l.Spare = l.Free + max(s.idle[l.Account]-own[l.Account], 0)
		l.Stranded = s.stranded[l.Account]
		l.Demand, l.Whole = s.zoneDemand[zoneAccount{q.Zone, l.Account}], s.fleetDemand[l.Account]
		l.Total, _ = c.budget(l.Account)
	}
}

// loads returns the load of all other incarnations by target, and the silence
// of targets. Targets without either are left out. The caller holds mu.
func (c *Coordinator) loads(q *wire.SyncRequest) []*wire.Load {
	own := map[string]*wire.Load{}
	for _, l := range q.Loads {
		own[l.Target] = l
	}
	var list []*wire.Load
	for _, sum := range c.summarize().loads {
		l := &wire.Load{Target: sum.Target, Running: sum.Running, Unread: sum.Unread, Memory: sum.Memory}
		if sum.Silence > silenceThreshold {
			l.Silence = sum.Silence
		}
		if o := own[l.Target]; o != nil {
			l.Running = max(l.Running-o.Running, 0)
			l.Unread = max(l.Unread-o.Unread, 0)
			l.Memory = max(l.Memory-o.Memory, 0)
		}
		if l.Running > 0 || l.Silence > 0 {
			list = append(list, l)
		}
	}
	return list
}

// peers returns the addresses of some other entry instances, varying by call.
// The caller holds mu.
func (c *Coordinator) peers(self string) []string {
	var list []string
	for name, e := range c.entries {
		if name != self && e.address != "" {
			list = append(list, e.address)
		}
		if len(list) == maxPeers {
			break
		}
	}
	return list
}
