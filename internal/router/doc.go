// Package router chooses the target for a request, based on delayed load
// reports, the requests that this instance has sent since, and the prompt
// prefixes probably cached by each target.
package router
