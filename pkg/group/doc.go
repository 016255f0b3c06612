// Package group describes a set of targets that share a key and a name prefix.
//
// A Group is immutable by convention: the With methods return modified copies.
package group
