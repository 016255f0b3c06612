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
)

// entry is an incarnation of an entry instance that is in touch.
type entry struct {
	at         time.Time
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
	limits, err := c.allot(ctx, q)
	if err != nil {
		reply.Fault = wire.NewFault(err)
		return reply, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(q)
	reply.Limits = limits
	c.complete(reply.Limits, q.Instance)
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
	reply.Loads = c.loads(q.Instance)
	reply.Entries = int32(len(c.entries))
	reply.Blocked = c.blocked()
	return reply, nil
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
		}
	}
	if q.Closing {
		delete(c.entries, q.Instance)
	} else {
		c.entries[q.Instance] = &entry{at: now, loads: q.Loads, allowances: q.Allowances}
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

// complete adds what the limits of other incarnations leave idle. The caller
// holds mu.
func (c *Coordinator) complete(limits []*wire.Limit, self string) {
	alive := func(name string) bool { return c.entries[name] != nil }
	for _, l := range limits {
		l.Free = c.budgets.Free(l.Account)
		l.Spare = l.Free
		for name, e := range c.entries {
			for _, w := range e.allowances {
				if name != self && w.Account == l.Account {
					l.Spare += max(w.Limit-w.Used, 0)
				}
			}
		}
		l.Stranded = c.budgets.Absent(l.Account, alive) > 0
		l.Total, _ = c.total(l.Account)
	}
}

// loads sums up the work of all other incarnations by target, and tells how
// long targets have been silent. The caller holds mu.
func (c *Coordinator) loads(self string) []*wire.Load {
	now := c.cfg.Now()
	sums := map[string]*wire.Load{}
	list := []*wire.Load{}
	for _, l := range c.targets.List() {
		s := &wire.Load{Target: l.Id}
		if at, ok := c.heard[l.Id]; ok {
			s.Silence = now.Sub(at).Milliseconds()
		}
		sums[l.Id] = s
		list = append(list, s)
	}
	for name, e := range c.entries {
		if name == self {
			continue
		}
		for _, l := range e.loads {
			if s := sums[l.Target]; s != nil {
				s.Running += l.Running
				s.Unread += l.Unread
				s.Memory += l.Memory
				s.Failures += l.Failures
				s.Successes += l.Successes
			}
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
