// Package printer prints a venture as TOML, the format in which configurations
// are submitted.
//
// Equal ventures give equal bytes: entries, names and keys whose order has no
// meaning are sorted, times are in UTC and every field is printed.
package printer
