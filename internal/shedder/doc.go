// Package shedder tells when an instance is to send callers elsewhere because its
// network link is nearly full.
//
// A load balancer that chooses by a hash of the caller sends all connections of
// a busy caller to one instance. Behind a full link, connections to targets time
// out and even the core instances can't be reached.
package shedder
