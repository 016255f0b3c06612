// Package balancer chooses a target for a request of the general routes.
//
// It keeps a model of each target: the requests in flight and the prompt tokens
// that they still read, from this instance and, a little older, from all
// others; the parts of prompts that the target is likely to keep in its cache;
// and how its last answers went. A request goes where it is expected to begin
// first. A part that no target is known to keep has a home that all instances
// agree on without a message, so that it isn't read at many targets. Engines that
// nothing speaks for are sampled: all instances hold the same reports, and would
// otherwise choose the same engine.
package balancer
