package coordinator

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/fault"
	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
)

// Apply applies a committed command. The log calls it in order.
func (c *Coordinator) Apply(_ uint64, command []byte) []byte {
	d := &wire.Directive{}
	if err := proto.Unmarshal(command, d); err != nil {
		c.cfg.Logger.Error("decoding command failed", zap.Error(err))
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	// No result depends on the records: their expiry follows the local clock, so that
	// instances may hold different ones.
	c.tracer.Merge(d.Origins)
	switch change := d.Change.(type) {
	case *wire.Directive_Publish:
		c.publish(change.Publish)
	case *wire.Directive_Batch:
		return c.applyBatch(change.Batch)
	}
	return nil
}

// applyBatch applies a batch and returns the encoded outcome. The caller holds mu.
func (c *Coordinator) applyBatch(b *wire.Batch) []byte {
	before := c.targets.Revision()
	for _, l := range b.Listings {
		revision := c.targets.Revision()
		if c.targets.Apply(l); c.targets.Revision() != revision {
			c.tracer.Observe(l)
		}
	}
	if c.targets.Revision() != before {
		c.notify()
	}
	outcome := &wire.BatchOutcome{}
	for _, q := range b.Allotments {
		outcome.Results = append(outcome.Results, c.budgets.Apply(q))
	}
	data, err := proto.Marshal(outcome)
	if err != nil {
		c.cfg.Logger.Error("encoding limits failed", zap.Error(err))
	}
	return data
}

// notify wakes the calls that wait for a change of the ruleset or the targets.
// The caller holds mu.
func (c *Coordinator) notify() {
	close(c.applied)
	c.applied = make(chan struct{})
}

// publish puts a ruleset in force if its version is higher.
func (c *Coordinator) publish(q *wire.PublishRequest) {
	if c.rules != nil && q.Version <= c.rules.Version() {
		return
	}
	rules, err := ruleset.Decode(q.Ruleset)
	if err != nil {
		c.cfg.Logger.Error("decoding committed ruleset failed", zap.Uint64("version", q.Version), zap.Error(err))
		return
	}
	c.rules, c.encoded, c.source = rules, q.Ruleset, q.Source
	c.notify()
	c.tracer.ObserveRoutings(rules.Routings())
	c.cfg.Logger.Info("ruleset in force", zap.Uint64("version", q.Version), zap.Int("routes", len(rules.Config().Routes)))
}

// Snapshot returns the encoded state.
func (c *Coordinator) Snapshot() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &wire.CoreState{Ruleset: c.encoded, Source: c.source}
	if c.rules != nil {
		s.Version = c.rules.Version()
	}
	c.targets.Save(s)
	c.budgets.Save(s)
	c.observeTargets()
	c.tracer.Save(s)
	data, err := proto.Marshal(s)
	if err != nil {
		c.cfg.Logger.Error("encoding snapshot failed", zap.Error(err))
	}
	return data
}

// Restore replaces the state with that of a snapshot.
func (c *Coordinator) Restore(data []byte) error {
	s := &wire.CoreState{}
	if err := proto.Unmarshal(data, s); err != nil {
		return eris.Wrapf(fault.Corrupt, "snapshot: %v", err)
	}
	var rules *ruleset.Ruleset
	if len(s.Ruleset) > 0 {
		r, err := ruleset.Decode(s.Ruleset)
		if err != nil {
			return eris.Wrapf(fault.Corrupt, "snapshot: %v", err)
		}
		rules = r
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rules, c.encoded, c.source = rules, s.Ruleset, s.Source
	c.targets.Load(s)
	c.budgets.Load(s)
	c.tracer.Load(s)
	c.observed = c.targets.Revision()
	c.notify()
	c.tracer.ObserveAll(c.targets.List())
	if rules != nil {
		c.tracer.ObserveRoutings(rules.Routings())
	}
	return nil
}
