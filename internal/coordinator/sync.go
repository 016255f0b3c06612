package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// maxPeers limits the entry instances listed in a reply.
	maxPeers = 4
	// applyTimeout limits the wait for what the leader has committed. The next
	// heartbeat of the log tells of it.
	applyTimeout = 200 * time.Millisecond
	// summaryAge is the maximum age of the summary that replies use.
	summaryAge = 100 * time.Millisecond
	// silenceThreshold is the silence of a target in ms up to which replies
	// don't report it: three announcements.
	silenceThreshold = 3600
)

// entry is an incarnation of an entry instance in contact.
type entry struct {
	lastSync time.Time
	zone     string
	loads    []*wire.Load
	demand   map[string]int64 // as last declared, by account, in tokens per second
}

// Sync implements wire.DRPCSteeringServer. The calls of many entry instances go to
// the leader together. What the log tells, this instance answers itself.
func (c *Coordinator) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	reply := &wire.SyncReply{Cores: c.cfg.Instances(), Leader: c.cfg.Leader()}
	result, err := c.collector.Sync(ctx, &wire.SyncRequest{
		Instance: q.Instance, Zone: q.Zone, Sequence: q.Sequence, Address: q.Address, Allowances: q.Allowances, Loads: q.Loads,
		Closing: q.Closing, Tenure: q.Tenure, TargetLimits: q.TargetLimits, Origins: q.Origins,
	})
	if err == nil {
		err = result.Fault.Err()
	}
	if err == nil && !c.awaitState(ctx) {
		err = eris.Wrap(fault.Isolated, "this instance is behind the leader")
	}
	if err != nil {
		reply.Fault = wire.NewFault(err)
		return reply, nil
	}
	reply.Limits, reply.TargetLimits = result.Limits, result.TargetLimits
	reply.Evidence = c.evidence.Answer(q.Evidence)
	c.mu.Lock()
	defer c.mu.Unlock()
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
	s := &c.shared
	reply.Loads, reply.Entries = loads(s.loads, q), s.entries
	reply.Peers = s.others(q.Address, maxPeers, rand.IntN)
	if reply.Fleet = s.fleet; s.fleet != q.Fleet {
		reply.Members = s.members
	}
	return reply, nil
}

// record stores what the incarnation reports. It declares only the accounts that
// have changed. The caller holds mu.
func (c *Coordinator) record(q *wire.SyncRequest) {
	now := c.cfg.Now()
	if q.Closing {
		delete(c.entries, q.Instance)
		c.divider.Remove(q.Instance)
		c.fleet.remove(q.Address)
		return
	}
	e := c.entries[q.Instance]
	if e == nil {
		e = &entry{demand: map[string]int64{}}
		c.entries[q.Instance] = e
	}
	e.lastSync, e.zone, e.loads = now, q.Zone, q.Loads
	for _, w := range q.Allowances {
		e.demand[w.Account] = w.Rate
	}
	c.divider.Report(q.Instance, q.TargetLimits)
	c.fleet.add(q.Address, q.Zone, now)
}

// expireEntries drops the incarnations out of contact. The caller holds mu.
func (c *Coordinator) expireEntries() {
	now := c.cfg.Now()
	for name, e := range c.entries {
		if now.Sub(e.lastSync) > entryTimeout {
			delete(c.entries, name)
			delete(c.sequences, name)
		}
	}
}

// summary aggregates the reports of all incarnations. Aggregating for each call
// would take quadratic time in the number of incarnations.
type summary struct {
	at          time.Time
	loads       []*wire.Load
	stranded    map[string]int64 // idle tokens of incarnations out of contact, by account
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
	c.expireEntries()
	s := &summary{at: now, stranded: map[string]int64{}, zoneDemand: map[zoneAccount]int64{}, fleetDemand: map[string]int64{}}
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
		for account, rate := range e.demand {
			s.zoneDemand[zoneAccount{e.zone, account}] += rate
			s.fleetDemand[account] += rate
		}
	}
	c.budgets.VisitStranded(func(name string) bool { return c.entries[name] != nil }, func(account string, tokens int64) { s.stranded[account] += tokens })
	c.summary = s
	return s
}

// fillLimits adds the budget, the free tokens, the idle ones of other incarnations
// and the demand to the limits. The caller holds mu.
func (c *Coordinator) fillLimits(limits []*wire.Limit, q *wire.SyncRequest) {
	s := c.summarize()
	used := map[string]int64{}
	for _, w := range q.Allowances {
		used[w.Account] = max(w.Used, 0)
	}
	for _, l := range limits {
		own := max(l.Limit-used[l.Account], 0)
		l.Free = c.budgets.Free(l.Account)
		l.Spare = l.Free + max(c.budgets.Idle(l.Account)-s.stranded[l.Account]-own, 0)
		l.Stranded = s.stranded[l.Account] > 0
		l.Demand, l.Whole = s.zoneDemand[zoneAccount{q.Zone, l.Account}], s.fleetDemand[l.Account]
		l.Total, _ = c.budget(l.Account)
	}
}

// loads returns the load of all other incarnations by target, and the silence
// of targets. Targets without either are left out.
func loads(all []*wire.Load, q *wire.SyncRequest) []*wire.Load {
	own := map[string]*wire.Load{}
	for _, l := range q.Loads {
		own[l.Target] = l
	}
	var list []*wire.Load
	for _, sum := range all {
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
