// Package member keeps track of the instances of the fleet by heartbeats.
//
// Each instance sends a heartbeat once a second to one holder, the nearest
// that answers; holders send theirs to all other holders together with the
// state of the instances that they track. The cost of an entry instance
// therefore doesn't depend on the size of the fleet.
package member
