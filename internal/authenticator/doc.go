// Package authenticator maps keys to their owners: the account of a caller, an
// operator, or the group of a target.
//
// Each key is stored as a hash with its own salt, so the first lookup of a key
// hashes it with every salt. Keys that were found are cached by a hash with a
// random secret of the process. The cache survives configuration changes that
// keep the key. Keys never appear in errors or logs.
package authenticator
