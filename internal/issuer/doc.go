// Package issuer sends the orders of the log to their targets. Only the leader
// of the control members sends: each sending follows an Attempt that this
// member committed as the leader. See docs/orders.md.
package issuer
