// Package starter holds what the programs of the stand-in targets share: their
// common options and the way they start.
package starter
