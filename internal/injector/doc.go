// Package injector holds the faults that a stand-in target produces on
// purpose, so that tests can see how the fleet meets them.
package injector
