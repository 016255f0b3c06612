// Package planner works out the load of each role of a fleet at a planned size
// from slopes that were measured on a small fleet.
package planner
