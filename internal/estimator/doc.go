// Package estimator gives an upper bound on the cost of a model request, in
// tokens, before the request runs.
package estimator
