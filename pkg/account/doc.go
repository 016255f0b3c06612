// Package account describes a client account of a venture: its prepaid budget,
// top-ups, keys and permissions.
//
// An Account is immutable by convention: the With methods return modified
// copies that share no slices with the original.
package account
