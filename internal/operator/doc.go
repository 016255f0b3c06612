// Package operator serves HTTP to operators: configuration, top-ups, the state
// of the fleet, the books, orders to targets, and the dissolution of the
// venture.
package operator
