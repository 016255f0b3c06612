// Package spooler writes log lines without blocking the caller. Lines that
// exceed the buffer, and rate-limited lines beyond the rate, are dropped and
// counted. Lines that report failures have no rate limit.
package spooler
