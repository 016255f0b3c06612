package coordinator

import (
	"context"
	"time"

	"github.com/papayapond/papayapond/internal/wire"
)

// Trace implements wire.DRPCSteeringServer. Each instance answers from the records
// that it holds, because these never change. That there is no record, and which
// versions were listed, is told by the leader only, as of a linearizable read: another
// instance may lack what was committed last.
func (c *Coordinator) Trace(ctx context.Context, q *wire.TraceRequest) (*wire.TraceReply, error) {
	reply := &wire.TraceReply{Leader: c.cfg.Leader()}
	if c.fillRecord(reply, q) {
		return reply, nil
	}
	err := c.ensureLeader(ctx)
	if err == nil {
		err = c.barrier(ctx)
	}
	if err != nil {
		reply.Fault = wire.NewFault(err)
		return reply, nil
	}
	if c.fillRecord(reply, q) || q.Pool == "" {
		return reply, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeTargets()
	if version, ok := c.tracer.Sole(q.Pool, q.Route, q.Routing, time.Duration(q.Window)*time.Millisecond); ok {
		reply.Found, reply.Pool, reply.Version = true, q.Pool, version
	}
	return reply, nil
}

// fillRecord fills in the record that a call asks for, if there is one.
func (c *Coordinator) fillRecord(reply *wire.TraceReply, q *wire.TraceRequest) bool {
	reply.Pool, reply.Version, reply.Recorded = c.tracer.Find(q.Attempt)
	reply.Found = reply.Recorded
	return reply.Found
}

// observeTargets tells the tracer which targets are listed. The caller holds mu.
func (c *Coordinator) observeTargets() {
	if revision := c.targets.Revision(); revision != c.observed {
		c.tracer.ObserveAll(c.targets.List())
		c.observed = revision
	}
}
