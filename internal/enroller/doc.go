// Package enroller keeps the targets that have announced themselves. It is
// part of the replicated state of the core instances.
//
// A lifetime of a target is its name and the time of its start. Announcements
// may arrive late and in any order: the newest lifetime of a name and of an
// address wins, and a lifetime that is leaving never becomes ready again.
package enroller
