// Package alerts evaluates the alert rules of a page against recorded samples,
// with the rule parser and the query engine of Prometheus. It is a module of
// its own, so that the product doesn't depend on them.
package alerts
