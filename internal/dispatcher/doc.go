// Package dispatcher sends requests to targets. It retries a request on another
// target only when that is safe: when the request certainly did not reach the
// first target, or when it is idempotent and no part of a response has been
// relayed yet.
package dispatcher
