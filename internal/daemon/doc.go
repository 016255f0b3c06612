// Package daemon assembles an instance from its components. Each part_*.go file
// builds the components of one area. They start in the order listed in New and
// stop in reverse order.
package daemon
