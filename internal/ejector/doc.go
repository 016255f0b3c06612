// Package ejector temporarily ejects unhealthy targets: those that fail, reset
// connections or are much slower than the others.
package ejector
