// Package allocator divides prepaid budgets into allowances of incarnations of
// entry instances. It is part of the replicated state of the core instances.
//
// An incarnation declares in each request the limits that it will not exceed
// before the reply, and asks for more. A request takes back what lies between
// the granted and the declared limit, then grants more from what is free. A
// reply that is lost therefore strands nothing, and a request that arrives
// late is recognised by its sequence and ignored. What an incarnation held
// when it died counts as spent: it may have been spent.
package allocator
