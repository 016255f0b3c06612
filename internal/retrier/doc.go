// Package retrier bounds the retries of an instance to a share of its
// requests, so that retries don't multiply an overload.
package retrier
