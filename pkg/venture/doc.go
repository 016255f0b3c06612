// Package venture describes a joint venture of a fixed term: who operates it,
// which models, services and target groups it has, and which client accounts
// use them.
//
// A Venture is immutable by convention: the With methods return changed
// copies that share no slices with the original. Package printer prints it as
// the configuration to submit.
package venture
