// Package allocator divides prepaid budgets into allowances of incarnations of
// entry instances. It is part of the replicated state of the core instances.
//
// An incarnation declares in each request the limits that it will not exceed
// before the reply, and asks for more. A request takes back what lies between
// the granted and the declared limit, then grants more from what is free. A
// reply that is lost therefore strands nothing, and a request that arrives
// late is recognised by its sequence and ignored. What an incarnation held
// when it died counts as spent: it may have been spent.
//
// A limit has to last through a partition, so it is far more than what a
// process can spend between two answers. Its lock is the smaller part that is
// spent while the core instances answer; the rest is spent only once they have
// been silent for Patience. If a process is followed by another one on its
// machine sooner than that, by the machine's boot clock, the rest wasn't spent.
package allocator
