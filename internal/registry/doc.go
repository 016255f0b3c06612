// Package registry holds the targets known to an instance. Targets announce
// themselves every second. A direct announcement expires after TTL; one that a
// holder relayed stays until the holder reports the target as gone. A target
// known both ways stays until neither applies. Ready targets are indexed by zone
// and by model or service.
package registry
