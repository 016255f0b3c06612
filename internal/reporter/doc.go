// Package reporter collects the request metrics of an instance and exports them,
// with the state of its other parts, in the Prometheus format.
package reporter
