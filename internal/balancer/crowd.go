package balancer

const (
	// crowdedRatio and crowdedMargin are how much more the engines of a zone must run
	// than all engines on average before its requests are compared with other zones.
	// In an even fleet, comparing more engines would only send more requests to those
	// with the lowest reports.
	crowdedRatio  = 1.2
	crowdedMargin = 1
)

// updateCrowded notes for which pools the engines of this zone have more requests in
// flight than those of all zones. It must be called whenever the lists change: a request
// for a crowded pool is compared with a target drawn from its list. The caller holds mu.
func (b *Balancer) updateCrowded() {
	clear(b.crowded)
	for pool, list := range b.pools {
		if b.poolConfigs[pool].Engine == nil {
			continue
		}
		var here, all, countHere float64
		for _, t := range list {
			n := float64(t.running) + float64(t.remote.Running)
			all += n
			if t.listing.Zone == b.cfg.Zone {
				here += n
				countHere++
			}
		}
		if countHere > 0 && here/countHere > crowdedRatio*all/float64(len(list))+crowdedMargin {
			b.crowded[pool] = true
		}
	}
}
