// Package certifier reads the files for mutual TLS between instances, anew for
// each connection, so that certificates and authorities are replaced without a
// restart.
package certifier
