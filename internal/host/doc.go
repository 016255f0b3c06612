// Package host runs a stand-in target: it listens, announces the target, and
// stops it without cutting off a request.
package host
