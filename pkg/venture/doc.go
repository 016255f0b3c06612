// Package venture describes a joint venture of a fixed term: its operators,
// models, services, target groups and client accounts.
//
// A Venture is immutable by convention: the With methods return modified copies
// that share no slices with the original. Package printer prints it as the
// configuration to submit.
package venture
