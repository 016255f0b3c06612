// Package controller keeps the state over the replicated log: the
// configuration, the tokens of each account and their grants to zones,
// top-ups, claims of calls that must not be repeated, epochs of the ledgers,
// fencing numbers of orders, and the end of the venture.
//
// Apply is deterministic: the time comes from the command, and the same
// commands give the same snapshot, byte for byte. Every command is idempotent
// by an identity that it carries, so that a proposer that lost an answer
// sends the command again.
package controller
