// Package dialer opens drpc connections to the other instances of the fleet,
// with mutual TLS when certificate files are set.
package dialer
