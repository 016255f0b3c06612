// Package daemon composes an instance of the fleet from its parts. Each file
// part_*.go holds the parts of one area; the order in daemon.go is the order
// of their start, and they stop in reverse order.
package daemon
