// Package replicator implements a replicated log for the control members. It
// follows Raft: durable votes and entries, majority commit, pre-vote,
// check-quorum, linearizable reads confirmed by a heartbeat round, snapshots,
// learners, single-server membership changes and leadership transfer.
//
// A member identity is the instance name for a data folder that took part in
// the first start, and name#disk for a folder that joined later. Every message
// names the identity it is addressed to, so a new folder never answers for a
// lost one. docs/consensus.md gives the safety argument.
package replicator
