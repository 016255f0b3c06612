// Package dialer opens drpc connections to the other instances of the fleet,
// with mutual TLS if certificate files are configured.
package dialer
