package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/wire"
)

const (
	// maxContactAge is the time since the last answer of the leader up to which
	// an instance answers for it.
	maxContactAge = time.Second
	// loadInterval is the least time between two batches that ask for the loads.
	loadInterval = 200 * time.Millisecond
)

// shared is what the leader has told last for all entry instances.
type shared struct {
	version  uint64 // of the ruleset in force
	revision uint64 // of the targets
	entries  int32
	table    []byte // encoded loads of all targets
	loadedAt time.Time
	fleet    uint64 // digest of members
	members  []*wire.Member
}

// batchTime returns the least time between two batches.
func (c *Coordinator) batchTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(time.Duration(c.shared.entries)*entryBatchTime, maxBatchTime)
}

// send passes a batch on to the leader and keeps what it tells for all.
func (c *Coordinator) send(ctx context.Context, q *wire.BatchRequest) (*wire.BatchReply, error) {
	leader := c.cfg.Leader()
	if leader == "" {
		return nil, eris.Wrap(fault.Isolated, "no leader is known")
	}
	now := c.cfg.Now()
	c.mu.Lock()
	q.Fleet, q.Load = c.shared.fleet, now.Sub(c.shared.loadedAt) >= loadInterval
	c.mu.Unlock()
	var reply *wire.BatchReply
	var err error
	if leader == c.cfg.Name {
		reply, err = c.Collect(ctx, q)
	} else {
		q.Evidence = c.exchange.Request()
		reply, err = c.cfg.Peer(leader).Collect(ctx, q)
	}
	if err != nil {
		return nil, eris.Wrapf(fault.Unavailable, "leader %s: %v", leader, err)
	}
	if reply.Fault.Err() != nil {
		return reply, nil
	}
	if q.Evidence != nil {
		c.exchange.Apply(q.Evidence, reply.Evidence)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.shared
	s.version, s.revision, s.entries = reply.Version, reply.Roster, reply.Entries
	if len(reply.Table) > 0 {
		s.table, s.loadedAt = reply.Table, now
	}
	if len(reply.Members) > 0 {
		s.members = reply.Members
	}
	if s.fleet = reply.Fleet; s.fleet == 0 {
		s.members = nil
	}
	return reply, nil
}

// Collect implements wire.DRPCSteeringServer. Only the leader serves it.
func (c *Coordinator) Collect(ctx context.Context, q *wire.BatchRequest) (*wire.BatchReply, error) {
	reply := &wire.BatchReply{Leader: c.cfg.Leader()}
	err := c.ensureLeader(ctx)
	if err != nil {
		reply.Fault = wire.NewFault(err)
		return reply, nil
	}
	results, calls := c.admit(q.Calls)
	listings := c.changes(q)
	outcome, err := c.commitBatch(ctx, &wire.Batch{Allotments: allotments(calls), Listings: listings}, origins(calls))
	if err != nil {
		reply.Fault = wire.NewFault(err)
		return reply, nil
	}
	c.logListings(listings)
	// Evaluating crashes takes milliseconds, for which no other call must wait.
	reply.Evidence = c.evidence.Answer(q.Evidence)
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted := 0
	for i, call := range q.Calls {
		if results[i].Fault == nil {
			c.fill(results[i], call, outcome.Results[accepted])
			accepted++
		}
	}
	reply.Results = results
	if c.rules != nil {
		reply.Version = c.rules.Version()
	}
	reply.Roster, reply.Entries = c.targets.Revision(), int32(len(c.entries))
	if q.Load {
		reply.Table = c.summarize().table
	}
	reply.Fleet, reply.Members = c.fleet.listFor(q.Fleet, c.cfg.Now())
	return reply, nil
}

// admit returns a result for each call and the calls that are new. A call that has
// arrived on two paths is accepted once.
func (c *Coordinator) admit(calls []*wire.SyncRequest) (results []*wire.BatchResult, admitted []*wire.SyncRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range calls {
		r := &wire.BatchResult{}
		if c.sequences[q.Instance] >= q.Sequence {
			r.Fault = wire.NewFault(eris.Wrapf(fault.Conflict, "sequence %d of %s was already received", q.Sequence, q.Instance))
		} else {
			c.sequences[q.Instance] = q.Sequence
			admitted = append(admitted, q)
		}
		results = append(results, r)
	}
	return results, admitted
}

// changes records which targets have announced themselves and returns the
// announcements that change something.
func (c *Coordinator) changes(q *wire.BatchRequest) []*wire.Listing {
	now := c.cfg.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range q.Alive {
		if c.targets.Known(&wire.Listing{Id: id}) {
			c.lastAnnounced[id] = now
		}
	}
	var list []*wire.Listing
	for _, l := range q.Listings {
		changes := c.targets.Changes(l)
		if changes {
			list = append(list, l)
		}
		if changes || c.targets.Known(l) {
			c.lastAnnounced[l.Id] = now
		}
	}
	return list
}

func (c *Coordinator) logListings(list []*wire.Listing) {
	for _, l := range list {
		c.cfg.Logger.Info("target changed", zap.String("target", l.Id), zap.String("pool", l.Pool), zap.String("address", l.Address),
			zap.Int64("born", l.Born), zap.Uint64("sequence", l.Sequence), zap.Bool("leaving", l.Leaving), zap.Bool("gone", l.Gone))
	}
}

// allotments returns the allowances that incarnations declare and ask for, and the
// times of their last answers.
func allotments(calls []*wire.SyncRequest) []*wire.Allotment {
	var list []*wire.Allotment
	for _, q := range calls {
		list = append(list, &wire.Allotment{Instance: q.Instance, Sequence: q.Sequence, Allowances: q.Allowances, Closing: q.Closing, Tenure: q.Tenure})
	}
	return list
}

// origins returns the streams that targets have begun for the callers.
func origins(calls []*wire.SyncRequest) []*wire.Origins {
	var list []*wire.Origins
	for _, q := range calls {
		list = append(list, q.Origins...)
	}
	return list
}

// commitBatch commits a batch unless it is empty.
func (c *Coordinator) commitBatch(ctx context.Context, b *wire.Batch, origins []*wire.Origins) (*wire.BatchOutcome, error) {
	outcome := &wire.BatchOutcome{}
	if len(b.Allotments) == 0 && len(b.Listings) == 0 {
		return outcome, nil
	}
	data, err := c.commit(ctx, &wire.Directive{Origins: origins, Change: &wire.Directive_Batch{Batch: b}})
	if err != nil {
		return nil, err
	}
	if err := proto.Unmarshal(data, outcome); err != nil {
		return nil, eris.Wrapf(fault.Corrupt, "limits: %v", err)
	}
	if len(outcome.Results) != len(b.Allotments) {
		return nil, eris.Wrapf(fault.Corrupt, "limits: %d results for %d allotments", len(outcome.Results), len(b.Allotments))
	}
	return outcome, nil
}

// fill records an accepted call and fills in its result. The caller holds mu.
func (c *Coordinator) fill(r *wire.BatchResult, q *wire.SyncRequest, applied *wire.AllotmentResult) {
	if applied.Stale {
		r.Fault = wire.NewFault(eris.Wrapf(fault.Conflict, "sequence %d of %s is stale", q.Sequence, q.Instance))
		return
	}
	c.record(q)
	r.Limits = applied.Limits
	c.fillLimits(r.Limits, q)
	r.TargetLimits = c.divider.Shares(q.Instance)
}

// awaitState waits until this instance has applied the ruleset and the targets that
// the leader has told last. It reports whether it has.
func (c *Coordinator) awaitState(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		c.mu.Lock()
		current := c.targets.Revision() >= c.shared.revision && (c.rules != nil && c.rules.Version() >= c.shared.version || c.shared.version == 0)
		applied := c.applied
		c.mu.Unlock()
		if current {
			return true
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return false
		}
	}
}

// others returns up to n entry instances other than one, drawn at random. The caller
// holds mu.
func (s *shared) others(self string, n int) []string {
	var list []string
	for range n {
		if len(s.members) == 0 {
			break
		}
		address := s.members[rand.IntN(len(s.members))].Address
		if address != self && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}
