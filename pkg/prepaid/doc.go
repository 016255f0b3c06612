// Package prepaid describes a client account of the general routes: its keys
// and its prepaid tokens.
package prepaid
