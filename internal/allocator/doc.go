// Package allocator divides prepaid budgets into allowances for incarnations of
// entry instances. It is part of the replicated state of the core instances.
//
// In each request an incarnation declares the limits that it won't exceed
// before the reply, and asks for more. The allocator reclaims the difference
// between the granted and the declared limit, then grants more from the free
// tokens. A lost reply therefore strands nothing, and a late request is
// recognized by its sequence number and ignored. Tokens that an incarnation
// held when it crashed count as spent, since it may have spent them.
//
// A limit has to last through a partition, so it far exceeds what a process can
// spend between two replies. The soft limit (Lock on the wire) is the part that
// may be spent while the core instances answer; the rest may be spent only
// after IsolationTimeout without an answer. If a new process starts on the same
// machine before that, by the machine's boot clock, the old one hasn't spent
// the rest.
package allocator
