// Package fault holds the closed list of error kinds and the table from each
// kind to its answers: to callers (HTTP status, code, whether the request
// ran), to operators (exit status) and to the log (level).
//
// A Kind is an error. Code that adds a cause or a context wraps it:
//
//	return eris.Wrapf(fault.Exhausted, "account %s", name)
//
// and Of finds the kind again.
package fault
