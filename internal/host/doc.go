// Package host runs a simulated target: it listens, announces the target, and
// stops it gracefully.
package host
