// Package loader sends a mix of requests at a given rate, as the callers of
// the firms do, and checks each answer against its request. The rate is an
// open loop: a slow answer doesn't delay the next request, and times count
// from the moment at which a request was due.
package loader
