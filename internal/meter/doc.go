// Package meter counts the requests of the general routes and serves the
// counters in the text format of Prometheus.
package meter
