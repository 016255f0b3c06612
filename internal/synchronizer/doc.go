// Package synchronizer keeps an entry instance in contact with the leader of
// the core instances. A few times a second it reports the requests in flight,
// the allowances and the versions that the instance holds, and fetches what is
// newer.
//
// It finds the core instances from the settings and from the replies of other
// core instances. Without a leader the instance continues with the state that
// it holds.
package synchronizer
