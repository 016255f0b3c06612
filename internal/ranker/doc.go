// Package ranker implements rendezvous hashing: all instances agree on the
// order of addresses for a key without communicating, and removing one address
// does not change the order of the others.
package ranker
