// Package enroller keeps the registry of targets that have announced
// themselves. It is part of the replicated state of the core instances.
//
// A lifetime of a target is identified by its name and start time.
// Announcements may arrive late and out of order: the newest lifetime of a name
// and of an address wins, and a lifetime that is leaving never becomes ready
// again.
package enroller
