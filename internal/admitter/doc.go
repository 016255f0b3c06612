// Package admitter bounds the requests that an instance has in flight for each
// model, queues the rest fairly between client accounts and classes, and
// refuses early what would wait too long.
package admitter
