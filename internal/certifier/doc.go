// Package certifier loads the files for mutual TLS between instances. It
// reloads them for each connection, so that certificates and authorities can be
// replaced without a restart.
package certifier
