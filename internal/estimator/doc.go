// Package estimator computes an upper bound on the token cost of a model
// request before it runs.
package estimator
