// Package entry composes an entry instance for the general routes: it serves
// callers, keeps in touch with the core instances and tells whether it is
// ready.
package entry
