// Package configuration reads and checks the configuration of a venture.
//
// Parsing is strict: unknown keys, wrong types, and missing, duplicate or
// unknown names are errors. All errors are reported together, with their lines.
// A Configuration is immutable, and its lookups take constant time.
package configuration
