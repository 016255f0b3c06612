// Package operator implements the HTTP API for operators: configuration, top-ups,
// the state of the fleet, the books, orders to targets, the log level, and the
// dissolution of the venture.
package operator
