// Package gateway is the HTTP API for callers and targets. It serves
// completions, plain services and the status of requests, and accepts
// announcements of targets.
package gateway
