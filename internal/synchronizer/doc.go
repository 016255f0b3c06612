// Package synchronizer keeps an entry instance in touch with the leader of the
// core instances: a few times a second it tells its work in flight, its
// allowances and the versions that it holds, and gets what is newer.
//
// It finds the core instances through the settings and through what they tell
// about each other. Without a leader the instance goes on with what it holds.
package synchronizer
