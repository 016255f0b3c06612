// Package resubmitter sends the bills that an instance has retained to a ledger
// that was restored from a copy. A ledger in solo mode stores its bills on one
// disk only. If that disk is lost, the instances that settled the bills still
// have them.
package resubmitter
