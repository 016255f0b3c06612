// Package configuration reads and checks the configuration of a venture.
//
// Reading is strict: an unknown key, a wrong type, a name that is missing,
// used twice or unknown is an error with its line, and all problems are
// reported together. A Configuration is immutable and its lookups take
// constant time.
package configuration
