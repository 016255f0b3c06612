// Package logger builds the log of a daemon: JSON lines with short sentences,
// one name per part, and errors as one line without stack traces.
package logger
