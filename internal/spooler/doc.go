// Package spooler writes log lines without ever blocking their writer. Lines
// that don't fit into its buffer, or ordinary lines beyond a rate, are left
// out and counted; lines of failures have no rate.
package spooler
