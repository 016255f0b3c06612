// Package ledger keeps the token balances of one zone: the tokens that the
// replicated log grants to the zone, the allowances of entry instances, the
// bills, and the identities of billed requests.
//
// The state is kept in memory. Each change is a journal record, which is
// durable when the call returns. Records contain decisions rather than
// requests, so that a replay doesn't depend on the clock. For each account
//
//	granted = free + allowances + billed + released + stranded
//
// holds after each record, and no term is negative. A change that would violate
// this is rejected and stops the account with fault.Broken.
package ledger
