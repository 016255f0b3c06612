// Package service describes a plain service that the targets of a venture offer
// besides the models.
//
// A Service is immutable by convention: the With methods return modified copies
// that share no slices with the original.
package service
