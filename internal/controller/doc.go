// Package controller implements the state machine of the replicated log. It
// holds the configuration, the tokens of each account and their grants to
// zones, top-ups, claims of calls that must run at most once, ledger epochs,
// fencing numbers of orders, and the phase of the venture.
//
// Apply is deterministic: it takes the time from the command, and the same
// commands produce the same snapshot, byte for byte. Every command carries an
// identity that makes it idempotent, so that a proposer that received no reply
// can send it again.
package controller
