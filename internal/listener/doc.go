// Package listener accepts connections of callers and ends those that have
// gone silent: the other end no longer acknowledges what was sent, or it takes
// nothing for a long time.
package listener
