// Package account describes a client account of a venture: its prepaid
// budget, its top-ups, its keys and what it may use.
//
// An Account is immutable by convention: the With methods return changed
// copies that share no slices with the original.
package account
