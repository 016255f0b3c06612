// Package registry holds the targets that are known to an instance. Targets
// announce themselves every second; an announcement that arrived directly
// expires after TTL, one that a holder passed on stays until the holder says
// that the target is gone. A target known in both ways stays as long as either
// holds. Lists of the ready targets are kept by zone and by model or service.
package registry
