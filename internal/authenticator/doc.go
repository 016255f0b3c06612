// Package authenticator finds who a key belongs to: the account of a caller,
// the operator, or the group of a target.
//
// Keys are stored as hashes with a salt each, so that a key that is seen for
// the first time is hashed with every salt. A key that was found is known
// again by a hash under a random key of the process, also after a change of
// the configuration that keeps it. Keys appear neither in errors nor in logs.
package authenticator
