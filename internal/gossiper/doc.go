// Package gossiper exchanges the requests in flight between entry instances
// while the core instances are unreachable. Without it each instance would
// choose targets by its own requests and by stale reports, and requests would
// pile up at the targets that cache prompt prefixes shared by many requests.
//
// One instance of each zone, chosen by a hash, is the hub of the zone. The
// others report to it, and it exchanges the totals of its zone with the hubs of
// other zones. The number of messages is linear in the number of instances.
package gossiper
