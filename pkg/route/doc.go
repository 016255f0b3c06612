// Package route describes a route: which requests it matches, which pools of
// targets serve them and whether they may be repeated.
package route
