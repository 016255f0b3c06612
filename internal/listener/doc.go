// Package listener accepts client connections and drains them in a planned stop. It
// closes a connection whose peer no longer acknowledges sent data, or reads nothing for
// a long time.
package listener
