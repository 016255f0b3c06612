// Package neighbor makes a holder follow the holder of another zone to learn the
// targets of that zone and the content blocked there.
package neighbor
