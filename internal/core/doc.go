// Package core assembles a core instance: the replicated log and the
// coordinator on top of it, served to other instances.
package core
