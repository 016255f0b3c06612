// Package collector gathers the calls of entry instances and the announcements
// of targets that reach one core instance, and passes them on to the leader in
// batches, one at a time. The work of the leader grows with the number of core
// instances and not with that of the callers, and a leader that answers slowly
// gets fewer and larger batches instead of more calls.
//
// A call whose caller has given up before its batch is sent isn't passed on.
package collector
