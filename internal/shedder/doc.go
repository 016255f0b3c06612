// Package shedder sheds load from an instance whose network link is nearly
// saturated.
//
// A load balancer that hashes by caller sends all connections of a busy caller
// to one instance. If that saturates the link, connections to targets time out
// and even the core instances become unreachable.
package shedder
