package balancer

// NumNotices returns the number of notices that are kept.
func NumNotices(b *Balancer) int { return len(b.notices) }
