// Package core composes a core instance: the replicated log and the
// coordinator over it, served to other instances.
package core
