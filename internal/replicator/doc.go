// Package replicator is the replicated log of the control members: terms,
// synced votes and entries, majority commit, pre-vote, check-quorum,
// linearizable reads through a heartbeat round, snapshots, learners, one
// membership change at a time and leadership transfer.
//
// A member identity is the instance name for the folder that took part in
// the first start, and name#disk for a folder that joined later. Messages
// carry the identity that they address, so a folder never answers for a lost
// one. The safety argument is in docs/consensus.md.
package replicator
