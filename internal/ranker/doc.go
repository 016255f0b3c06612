// Package ranker orders instances by rendezvous hashing: all instances agree on
// the order for a key without a message, and the loss of one changes no other
// place.
package ranker
