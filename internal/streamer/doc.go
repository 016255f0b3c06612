// Package streamer reads event streams event by event, so that an answer that
// breaks off ends after a whole event and can be resumed behind it.
package streamer
