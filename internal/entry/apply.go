package entry

import (
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/papayapond/papayapond/internal/ruleset"
	"github.com/papayapond/papayapond/internal/wire"
)

// applyRuleset puts a ruleset in force.
func (e *Entry) applyRuleset(r *ruleset.Ruleset) {
	var names []string
	for _, a := range r.Config().Accounts {
		if a.Tokens != nil {
			names = append(names, a.Name)
		}
	}
	e.spender.AddAccounts(names)
	e.rules.Store(r)
	e.forwarder.SetRuleset(r)
}

// applyReply applies a reply of the leader. If one part of it panics, the others are
// applied all the same: the part may come with each reply, and the instance would neither
// learn of targets nor of limits until it is gone. The parts are those that replies may
// bring without each other. What was lost is asked for again.
func (e *Entry) applyReply(q *wire.SyncRequest, reply *wire.SyncReply) {
	complete := true
	apply := func(part string, run func()) {
		err := e.recoverer.Do("apply "+part, func() error {
			run()
			return nil
		}, zap.String("leader", reply.Leader), zap.Uint64("version", reply.Version))
		complete = complete && err == nil
	}
	apply("evidence", func() { e.evidence.Apply(q.Evidence, reply.Evidence) })
	apply("origins", func() { e.tracer.Acknowledge(q.Origins) })
	apply("target limits", func() { e.regulator.Apply(reply.TargetLimits) })
	apply("limits", func() { e.spender.UpdateLimits(reply.Limits, int(reply.Entries)) })
	apply("targets", func() { e.applyTargets(q, reply) })
	apply("members", func() { e.applyMembers(reply) })
	if !complete {
		e.sync.Forget()
	}
}

// applyTargets applies the list and the loads of the targets.
func (e *Entry) applyTargets(q *wire.SyncRequest, reply *wire.SyncReply) {
	if reply.Listed {
		e.balancer.SetTargets(reply.Targets)
		e.exchanger.PruneIdle(e.balancer.HasAddress)
	}
	e.applyTable(q, reply)
}

// applyMembers applies the list of the entry instances and their number.
func (e *Entry) applyMembers(reply *wire.SyncReply) {
	if len(reply.Members) > 0 {
		e.lender.Update(reply.Members)
		e.gossiper.Update(reply.Members)
		e.regulator.SetMembers(reply.Members)
	}
	e.forwarder.UpdateCluster(int(reply.Entries))
}

// applyTable applies the loads of a reply if they are those of the targets listed.
func (e *Entry) applyTable(q *wire.SyncRequest, reply *wire.SyncReply) {
	if len(reply.Table) == 0 {
		return
	}
	table := &wire.Table{}
	if err := proto.Unmarshal(reply.Table, table); err != nil {
		e.cfg.Logger.Warn("decoding loads failed", zap.Error(err))
		return
	}
	if table.Roster == reply.Roster {
		e.balancer.SetTable(table, q.Loads)
	}
}
