// Package regulator keeps the requests to each target within the limit that the
// target names in its answers, for all entry instances together.
//
// The leader divides a limit among the instances that have requests for the target
// (package divider). An instance that has no share from the leader, because the
// limit is new or the leader is silent, uses one that follows from the list of
// instances: a hash chooses as many of them as the limit has whole requests a
// second. A share is spent through a token bucket. So the shares add up, and what
// the buckets save up together stays below a second of the limit.
package regulator
