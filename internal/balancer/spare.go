package balancer

// withRoom returns the target if a request to it is likely to start at once, else nil.
// The caller holds mu.
func (b *Balancer) withRoom(t *target, cost float64, q Query) *target {
	limit := float64(queueCost)
	if b.poolConfigs[q.Pool].Engine == nil {
		limit = serviceQueueCost
	}
	if cost >= limit {
		return nil
	}
	return t
}
