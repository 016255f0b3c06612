// Package entry assembles an entry instance for the general routes. It serves
// callers, stays in contact with the core instances and reports its readiness.
package entry
