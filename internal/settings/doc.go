// Package settings reads the settings of a daemon from a TOML file. Parsing is
// strict: unknown keys, wrong types, and missing or contradictory values are
// errors that state the file, line, key and expected value.
package settings
