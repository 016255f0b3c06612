// Package gossiper tells entry instances about each other's work in flight while
// the core instances are silent. Without it each of them chooses targets by what
// it knows itself and by what was true before the silence, and work piles up at
// the targets that keep parts of prompts that many requests share.
//
// One instance of each zone, which a hash decides, is its hub: the others report
// to it, and it exchanges the sum of its zone with the hubs of other zones. The
// number of messages grows with that of the instances.
package gossiper
