// Package ruleset holds a validated version of the general routes, the pools
// that serve them and the client accounts that may use them.
package ruleset
