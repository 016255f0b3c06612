// Package retrier implements a retry budget: it limits the retries of an
// instance to a fraction of its requests, so that retries do not amplify an
// overload.
package retrier
