// Package spender spends the allowances of one incarnation of an entry
// instance. A request reserves what it may cost at most, in memory, and
// settles what it has cost. The limits come from the core instances; see
// package allocator.
//
// The limits follow the demand. While much of a budget is free, an incarnation
// holds what it needs to go on for some seconds without the core instances.
// As the rest shrinks, it holds less, so that the last tokens aren't idle at
// instances that don't need them. What it holds when it dies is lost. With many
// instances only the lenders of an account hold much of it; see package lender.
package spender
