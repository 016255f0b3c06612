// Package burner reports how fast a fleet uses up the error budgets of its
// service-level objectives.
//
// A Burner scrapes the metrics of all instances, merges the increases of
// their counters and histogram buckets, and computes for each objective the
// burn rate in several windows: the share of bad events divided by the share
// that the objective allows. At a rate of 1 the error budget lasts exactly as
// long as its period. An objective fires when both windows of a pair exceed
// the rate of the pair, so that neither a short spike nor a fault that has
// ended keeps it firing.
//
// An instance that doesn't answer is reported as missing. What it counted is
// left out and never estimated; what it counted before still counts in the
// windows that contain it.
package burner
