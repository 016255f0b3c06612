// Package starter provides the common options and the startup code of the
// simulated targets.
package starter
