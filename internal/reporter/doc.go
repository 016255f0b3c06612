// Package reporter counts what callers see and serves the figures of an
// instance in the Prometheus format.
package reporter
