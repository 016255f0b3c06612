// Package fleet holds the end-to-end tests: they build the programs, start
// them as separate processes on loopback and drive the path of a request under
// failures.
package fleet
