// Package resubmitter hands the bills that an instance has kept to a ledger
// that was restored from a copy. A ledger in solo mode has its bills on one
// disk only; when this disk is lost, the instances that settled them still
// have them.
package resubmitter
