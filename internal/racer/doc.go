// Package racer compares routing policies: it starts entry paths and stand-in
// engines in one process and sends them the mix of the load generator.
package racer
