// Package member tracks the instances of the fleet with heartbeats.
//
// Each instance sends a heartbeat once per second to the nearest holder that
// answers. Holders send theirs to all other holders, together with the state of
// the instances they track. The cost to an entry instance is therefore
// independent of the size of the fleet.
package member
