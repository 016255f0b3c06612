// Package lender moves parts of prepaid budgets between entry instances without
// the leader.
//
// In a large fleet each entry instance sees few requests of an account, and
// equal shares for all would tie up most of the budget. Instead, a few
// instances per zone, the lenders of an account, hold the share of the zone,
// and the others borrow what a request needs. Rendezvous hashing of the account
// and the address gives all instances the same lenders. Lending continues while
// the core instances are unreachable, for as long as the tokens last.
//
// A loan counts as spent by the lender. Whatever a borrower doesn't spend
// covers its next requests or is repaid. A lost message strands its tokens
// until the incarnation of the lender ends; no token can be spent twice.
package lender
