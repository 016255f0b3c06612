// Package operator serves HTTP to operators: configuration, top-ups, the state
// of the fleet, the books, and the dissolution of the venture.
package operator
