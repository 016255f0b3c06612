// Package dispatcher sends a request to a target and sends it to another one
// when that is safe: when the request certainly did not reach the target, or
// when it is repeatable and nothing of an answer has been relayed yet.
package dispatcher
