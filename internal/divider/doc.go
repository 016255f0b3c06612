// Package divider divides the limits that targets name among the entry instances
// that have requests for them. It runs on the leader and keeps its state in memory:
// a new leader learns it from the next calls.
package divider
