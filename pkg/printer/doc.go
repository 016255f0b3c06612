// Package printer prints a venture as TOML, the configuration to submit.
//
// Equal ventures give equal bytes: parts, names and keys whose order has no
// meaning are sorted, times are in UTC and every field is printed.
package printer
