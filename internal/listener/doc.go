// Package listener accepts client connections and closes unresponsive ones:
// the peer no longer acknowledges sent data, or reads nothing for a long time.
package listener
