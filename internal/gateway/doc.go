// Package gateway serves HTTP to callers and to targets: completions, plain
// services, the outcome of a request identity, and the announcements of
// targets.
package gateway
