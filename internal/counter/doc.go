// Package counter sums amounts over a sliding window of time.
package counter
