// Package issuer sends the orders of the replicated log to their targets. Only the
// leader of the control members sends, and only after it has committed an Attempt
// in its own term. See docs/orders.md.
package issuer
