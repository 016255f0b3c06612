// Package streamer reads server-sent event streams one event at a time, so that
// an interrupted stream ends after a complete event and can be resumed from
// there.
package streamer
