// Package settings reads the settings of one daemon from a TOML file. Reading
// is strict: an unknown key, a wrong type, a missing or a contradictory value
// is an error that names file, line, key and what is expected.
package settings
