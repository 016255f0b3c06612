// Package inspector reads what a process has used so far from the proc file
// system.
package inspector
