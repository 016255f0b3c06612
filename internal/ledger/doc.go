// Package ledger keeps the books of one zone: the tokens granted to the zone
// by the replicated log, the allowances of entry instances, the bills and the
// identities of billed requests.
//
// The books are in memory; each change is a record in a journal and is
// durable when the call returns. Records hold decisions, not requests, so
// that a replay doesn't depend on the clock. For each account
//
//	granted = free + allowances + billed + released + stranded
//
// holds after each record, and no term is negative. A change that would
// violate this isn't made; it stops the account with fault.Broken.
package ledger
