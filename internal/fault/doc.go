// Package fault defines the complete set of error kinds and how each is reported:
// to callers (HTTP status, code, whether the request ran), to operators (exit
// code) and in the log (level).
//
// A Kind is an error. Wrap it to add a cause or context:
//
//	return eris.Wrapf(fault.Exhausted, "account %s", name)
//
// Of returns the kind of a wrapped error.
package fault
