// Package synchronizer keeps an entry instance in contact with the core instances. A
// few times a second it reports to one of them the requests in flight, the allowances
// and the versions that the instance holds, and fetches what is newer.
//
// It finds the core instances from the settings and from the replies of other
// core instances. Each entry instance prefers them in an order of its own, so that the
// callers spread over them. Without any of them the instance continues with the state
// that it holds.
package synchronizer
