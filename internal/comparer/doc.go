// Package comparer runs one workload of requests against three ways to divide
// the budgets of client accounts between availability zones, and counts
// overspent tokens, false refusals, round trips and bytes.
//
// The escrow is the product's own: reserver.Reserver, holder.Holder,
// ledger.Ledger and controller.Controller over a fake network and a fake log.
// The two baselines, an even static split per zone and a central counter, are
// written here and have no instances, latency or durable state; this favours
// them.
//
// The escrow runs in a testing/synctest bubble, whose clock jumps to the next
// timer, so that a cut of an hour takes seconds and real timeouts apply.
package comparer
