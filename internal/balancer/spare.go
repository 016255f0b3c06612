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

// Fits reports whether a target that was chosen before may still get the request: it may
// have said since that it is leaving or that it wants no requests for a time.
func (p *Pick) Fits(q Query) bool {
	q.confirmed = p.b.cfg.Confirmed()
	p.b.mu.Lock()
	defer p.b.mu.Unlock()
	return q.permits(p.t, p.b.cfg.Now())
}
