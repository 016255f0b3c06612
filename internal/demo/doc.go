// Package demo runs a small fleet with stand-in targets in one process, on
// free loopback ports.
package demo
