// Package subscriber watches the nearest reachable holder and stores the state
// that it streams: the configuration, the phase of the venture, the targets
// and the blocked request contents.
package subscriber
