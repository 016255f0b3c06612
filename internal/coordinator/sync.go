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
	// crashLimit is the number of lifetimes of targets that a request may have
	// been running on when they broke its connection before it is blocked.
	// Single breaks happen to sound requests too.
	crashLimit = 3
	// crashMemory is the time for which crashes of one request count together.
	crashMemory = 60 * time.Second
	// toldPeers is the number of entry instances that a reply names.
	toldPeers = 4
	// summaryAge is the longest age of what is told about other incarnations.
	summaryAge = 100 * time.Millisecond
	// maxQuiet is the silence of a target in ms that isn't told: three
	// announcements.
	maxQuiet = 3600
)

// entry is an incarnation of an entry instance that is in touch.
type entry struct {
	at         time.Time
	address    string
	zone       string
	loads      []*wire.Load
	allowances []*wire.Allowance
}

// crash is a request that was in flight when targets broke its connection.
type crash struct {
	at      time.Time
	targets map[string]bool
}

// Sync serves wire.DRPCSteeringServer on the leader.
func (c *Coordinator) Sync(ctx context.Context, q *wire.SyncRequest) (*wire.SyncReply, error) {
	reply := &wire.SyncReply{Cores: c.cfg.Instances(), Leader: c.cfg.Leader()}
	if err := c.current(ctx); err != nil {
		reply.Fault = wire.NewFault(err)
		return reply, nil
	}
	if c.isRepeated(q) {
		// The same call has come on two ways.
		reply.Fault = wire.NewFault(eris.Wrapf(fault.Conflict, "sequence %d of %s is being served", q.Sequence, q.Instance))
		return reply, nil
	}
	limits, err := c.allot(ctx, q)
	if err != nil {
		reply.Fault = wire.NewFault(err)
		return reply, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(q)
	reply.Limits = limits
	c.complete(reply.Limits, q)
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
	reply.Loads = c.loads(q)
	reply.Entries = int32(len(c.entries))
	reply.Blocked = c.blocked()
	reply.Peers = c.peers(q.Instance)
	reply.Fleet, reply.Members = c.fleet.told(q.Fleet, c.cfg.Now())
	return reply, nil
}

// isRepeated reports whether a call has come before, and remembers it.
func (c *Coordinator) isRepeated(q *wire.SyncRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sequences[q.Instance] >= q.Sequence {
		return true
	}
	c.sequences[q.Instance] = q.Sequence
	return false
}

// allot commits what the incarnation declares and asks for, and when it was
// last answered.
func (c *Coordinator) allot(ctx context.Context, q *wire.SyncRequest) ([]*wire.Limit, error) {
	data, err := c.commit(ctx, &wire.Directive{Change: &wire.Directive_Allot{Allot: &wire.Allotment{
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
		return nil, eris.Wrapf(fault.Conflict, "sequence %d of %s has been overtaken", q.Sequence, q.Instance)
	}
	return result.Limits, nil
}

// note remembers what the incarnation reports. The caller holds mu.
func (c *Coordinator) note(q *wire.SyncRequest) {
	now := c.cfg.Now()
	for name, e := range c.entries {
		if now.Sub(e.at) > entryTimeout {
			delete(c.entries, name)
			delete(c.sequences, name)
		}
	}
	if q.Closing {
		delete(c.entries, q.Instance)
		c.fleet.remove(q.Address)
	} else {
		c.entries[q.Instance] = &entry{at: now, address: q.Address, zone: q.Zone, loads: q.Loads, allowances: q.Allowances}
		c.fleet.add(q.Address, q.Zone, now)
	}
	for _, s := range q.Suspects {
		k := c.crashes[s.Digest]
		if k == nil {
			k = &crash{targets: map[string]bool{}}
			c.crashes[s.Digest] = k
		}
		k.at, k.targets[s.Target] = now, true
	}
	for digest, k := range c.crashes {
		if now.Sub(k.at) > crashMemory {
			delete(c.crashes, digest)
		}
	}
}

// summary sums up what all incarnations report. Summing up for each call would
// cost the square of their number.
type summary struct {
	at     time.Time
	loads  []*wire.Load
	idle   map[string]int64 // tokens in allowances, by account
	absent map[string]bool  // accounts of which silent incarnations hold a part
	demand map[demandKey]int64
	whole  map[string]int64 // demand by account
}

// demandKey names an account in a zone.
type demandKey struct{ zone, account string }

// summarize returns a summary that is at most summaryAge old. The caller holds
// mu.
func (c *Coordinator) summarize() *summary {
	now := c.cfg.Now()
	if c.summary != nil && now.Sub(c.summary.at) < summaryAge {
		return c.summary
	}
	s := &summary{at: now, idle: map[string]int64{}, absent: map[string]bool{}, demand: map[demandKey]int64{}, whole: map[string]int64{}}
	sums := map[string]*wire.Load{}
	for _, l := range c.targets.List() {
		sum := &wire.Load{Target: l.Id}
		if at, ok := c.heard[l.Id]; ok {
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
			s.demand[demandKey{e.zone, w.Account}] += w.Rate
			s.whole[w.Account] += w.Rate
		}
	}
	c.budgets.VisitStranded(func(name string) bool { return c.entries[name] != nil }, func(account string) { s.absent[account] = true })
	c.summary = s
	return s
}

// complete adds what the limits of other incarnations leave idle. The caller
// holds mu.
func (c *Coordinator) complete(limits []*wire.Limit, q *wire.SyncRequest) {
	s := c.summarize()
	own := map[string]int64{}
	for _, w := range q.Allowances {
		own[w.Account] = max(w.Limit-w.Used, 0)
	}
	for _, l := range limits {
		l.Free = c.budgets.Free(l.Account)
		l.Spare = l.Free + max(s.idle[l.Account]-own[l.Account], 0)
		l.Stranded = s.absent[l.Account]
		l.Demand, l.Whole = s.demand[demandKey{q.Zone, l.Account}], s.whole[l.Account]
		l.Total, _ = c.total(l.Account)
	}
}

// loads returns the work of all other incarnations by target, and how long
// targets have been silent. Targets without either are left out. The caller
// holds mu.
func (c *Coordinator) loads(q *wire.SyncRequest) []*wire.Load {
	own := map[string]*wire.Load{}
	for _, l := range q.Loads {
		own[l.Target] = l
	}
	var list []*wire.Load
	for _, sum := range c.summarize().loads {
		l := &wire.Load{Target: sum.Target, Running: sum.Running, Unread: sum.Unread, Memory: sum.Memory}
		if sum.Silence > maxQuiet {
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

// peers returns the addresses of some other entry instances, different ones for
// each call. The caller holds mu.
func (c *Coordinator) peers(self string) []string {
	var list []string
	for name, e := range c.entries {
		if name != self && e.address != "" {
			list = append(list, e.address)
		}
		if len(list) == toldPeers {
			break
		}
	}
	return list
}

// blocked returns the digests of requests that crash targets. The caller holds
// mu.
func (c *Coordinator) blocked() []string {
	var list []string
	for digest, k := range c.crashes {
		if len(k.targets) >= crashLimit {
			list = append(list, digest)
		}
	}
	return list
}
