// Package router chooses the target for a request.
package router
