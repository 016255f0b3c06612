// Package locks tests which functions of other components are called under a
// lock. Two components that call each other under their locks can deadlock.
package locks
