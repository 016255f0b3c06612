// Package ejector keeps requests away from sick targets for a while: targets
// that fail, reset connections or are much slower than the others.
package ejector
