// Package limiter limits the bytes that a process holds for all requests together,
// and shares them among client accounts.
package limiter
