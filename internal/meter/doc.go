// Package meter collects the metrics of forwarded requests and exports them in
// the Prometheus text format.
package meter
