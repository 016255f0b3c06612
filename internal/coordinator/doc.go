// Package coordinator is the service of the core instances for the general
// routes. It commits rulesets, target announcements and allowances to the
// replicated log, and sends the committed state to entry instances.
//
// Only the leader of the log answers. Other instances forward the calls of
// operators and targets to it, and tell entry instances which instance leads.
// The leader keeps some soft state, which is lost with it: the entry instances
// in contact, their requests in flight, and the time of the last announcement
// of each target.
package coordinator
