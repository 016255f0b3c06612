// Package spender accounts for the token spending of one incarnation of an
// entry instance. A request reserves its maximum cost in memory and settles its
// actual cost. The limits come from the core instances; see package allocator.
//
// Limits follow demand. While much of a budget is free, an incarnation holds
// enough to continue for some seconds without the core instances. As the budget
// runs out it holds less, so that the last tokens don't sit idle at instances
// that don't need them. Tokens that it holds when it crashes are lost. In a
// large fleet only the lenders of an account hold much of it; see package
// lender.
package spender
