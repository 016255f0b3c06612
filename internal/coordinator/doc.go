// Package coordinator is the service of the core instances for the general
// routes. It commits rulesets, target announcements and allowances to the
// replicated log, and sends the committed state to entry instances.
//
// Each core instance answers the calls of entry instances and targets that reach it. It
// answers what the log tells from its own state, and passes the rest on to the leader in
// batches; see package collector. Calls of operators are forwarded one by one.
// The leader keeps some soft state, which is lost with it: the entry instances
// in contact, their requests in flight, and the time of the last announcement
// of each target.
package coordinator
