// Package route is the value of a route: which requests it takes, which pools
// of targets serve them and what may be repeated.
package route
