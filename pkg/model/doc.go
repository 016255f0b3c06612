// Package model describes a model that the engines of a venture serve.
//
// A Model is immutable by convention: the With methods return modified copies.
package model
