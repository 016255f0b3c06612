// Package subscriber watches the nearest holder that answers and keeps what
// it streams: the configuration in force here, the phase of the venture, the
// targets and the blocked contents.
package subscriber
