// Package logger builds the logger of a daemon. It writes JSON lines, names each
// component, and writes errors on one line without stack traces.
package logger
