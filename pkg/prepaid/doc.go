// Package prepaid is the value of a client account of the general routes: its
// keys and the tokens that it has paid for.
package prepaid
