// Package admitter limits the requests that an instance has in flight for each
// model, queues the rest fairly by client account and class, and rejects early
// any request that would wait too long.
package admitter
