// Package inspector reads the resource usage of a process from the proc file
// system.
package inspector
