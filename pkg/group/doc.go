// Package group describes a set of targets that share a key and a prefix of
// their names.
//
// A Group is immutable by convention: the With methods return changed copies.
package group
