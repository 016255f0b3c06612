// Package lender moves parts of prepaid budgets between entry instances without
// the leader.
//
// With many entry instances each of them sees few requests of an account, and a
// part for each would hold most of the budget. So a few instances of each zone,
// the lenders of an account, hold the part of the zone, and the others borrow
// from them what a request needs. All instances choose the same lenders by a
// hash of the account and the address. That goes on while the core instances
// can't be reached, for as long as the parts last.
//
// A loan counts as spent by the lender. What a borrower doesn't spend covers its
// next requests or is repaid. A message that is lost strands its tokens until
// the incarnation of the lender ends; none can be spent twice.
package lender
