// Package balancer chooses a target for each request on the general routes.
//
// It models each target: its requests in flight and pending prompt tokens,
// counted locally and reported with some delay by other instances; the prompt
// parts that are probably in its cache; and its recent outcomes. It sends a
// request to the target with the lowest expected time to start. A shared part
// that is not known to be cached has a home target, chosen by rendezvous
// hashing so that all instances agree without communicating and the part is not
// computed on many targets. Other engines are sampled at random, since all
// instances see the same reports and would otherwise pick the same engine.
package balancer
