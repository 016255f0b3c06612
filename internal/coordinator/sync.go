package coordinator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

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
	// silenceThreshold is the silence of a target up to which replies don't report
	// it: three announcements.
	silenceThreshold = 3600 * time.Millisecond
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
		c.list(reply, q.Roster)
	}
	s := &c.shared
	reply.Entries = s.entries
	if q.Load {
		reply.Table = s.table
	}
	reply.Peers = s.others(q.Address, maxPeers)
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
		delete(c.sequences, q.Instance) // the log refuses what comes after it
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
	table       []byte           // encoded loads of all targets
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
	var loads []*wire.Load
	for _, l := range c.targets.List() {
		sum := &wire.Load{Target: l.Id}
		if at, ok := c.lastAnnounced[l.Id]; ok && now.Sub(at) > silenceThreshold {
			sum.Silence = now.Sub(at).Milliseconds()
		}
		sums[l.Id] = sum
		loads = append(loads, sum)
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
	s.table = encodeTable(c.targets.Revision(), loads, c.cfg.Logger)
	c.summary = s
	return s
}

// encodeTable encodes the loads of the targets of a revision, in their order.
func encodeTable(revision uint64, loads []*wire.Load, logger *zap.Logger) []byte {
	table := &wire.Table{Roster: revision}
	for _, l := range loads {
		table.Append(l)
	}
	data, err := proto.Marshal(table)
	if err != nil {
		logger.Error("encoding loads failed", zap.Error(err))
	}
	return data
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

// list fills in the targets that have changed since a revision, or all of them if
// that is shorter or the changes aren't known. The caller holds mu.
func (c *Coordinator) list(reply *wire.SyncReply, revision uint64) {
	reply.Listed = true
	if revision > 0 {
		if reply.Targets, reply.Partial = c.targets.Since(revision); reply.Partial && len(reply.Targets) < c.targets.Len() {
			return
		}
	}
	reply.Targets, reply.Partial = c.targets.List(), false
}
